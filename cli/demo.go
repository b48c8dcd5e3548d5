package cli

import (
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/internal/demo"
)

func (a *app) addDemo(k *kingpin.Application) {
	cmd := k.Command("demo", "Run a whole system in this process under load, with a burst and an engine crash, and check the answers.")
	var o demo.Options
	cmd.Flag("seed", "Seed of the callers' requests.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("duration", "Time of load, without start and stop.").Default("15s").DurationVar(&o.Duration)
	verbose := cmd.Flag("verbose", "Write the daemons' logs to standard error.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error { return a.demo(o, *verbose) })
}

// demo runs the demonstration and prints its report. It returns an error if the report has violations.
func (a *app) demo(o demo.Options, verbose bool) error {
	if verbose {
		o.Log = hclog.New(&hclog.LoggerOptions{Name: "chivewind", Output: a.stderr})
	}
	o.Progress = func(stage string) { fmt.Fprintln(a.stderr, stage) }
	report, err := demo.Run(a.ctx, o)
	if err != nil {
		return err
	}
	if a.output == "json" {
		err = json.NewEncoder(a.stdout).Encode(report)
	} else {
		err = report.Write(a.stdout)
	}
	if err == nil && len(report.Violations) > 0 {
		err = fmt.Errorf("%d violations, the first: %s", len(report.Violations), report.Violations[0])
	}
	return err
}
