// Command chivewind is a router for language-model traffic.
package main

import (
	"os"

	"github.com/chivewind/chivewind/cli"
	_ "github.com/chivewind/chivewind/modules/standard"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
