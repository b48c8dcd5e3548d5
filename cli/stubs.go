package cli

import "github.com/alecthomas/kingpin/v2"

func (a *app) addBench(k *kingpin.Application) {}
func (a *app) addDemo(k *kingpin.Application)  {}
