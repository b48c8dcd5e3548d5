package cli

import "github.com/alecthomas/kingpin/v2"

func (a *app) addDemo(k *kingpin.Application) {}
