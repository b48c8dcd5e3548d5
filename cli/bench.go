package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chivewind/chivewind/internal/bench"
)

// allScenarios is the value of --scenario that selects every scenario.
const allScenarios = "all"

// ablationPolicy is the policy whose mechanisms --ablation turns off.
const ablationPolicy = "tiered"

// benchOptions are the flags of the bench command.
type benchOptions struct {
	bench.Options
	policyList   string
	ablationList string
}

func (a *app) addBench(k *kingpin.Application) {
	cmd := k.Command("bench", "Compare scheduling policies in virtual time, with fakes of the engines.")
	names := []string{allScenarios}
	for _, s := range bench.Scenarios() {
		names = append(names, s.Name)
	}
	var o benchOptions
	cmd.Flag("scenario", "Workload with its faults, or all.").Default("burst").EnumVar(&o.Scenario, names...)
	cmd.Flag("deployment", "Fleet and classes.").Default(bench.Deployments()[0]).EnumVar(&o.Deployment, bench.Deployments()...)
	cmd.Flag("seed", "First seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("3").IntVar(&o.Seeds)
	cmd.Flag("policies", "Policies, separated by commas, for example tiered,fifo_least. Default: all.").StringVar(&o.policyList)
	cmd.Flag("ablation", "Mechanisms, separated by commas, for example affinity,floors; for each, the tiered policy without it.").StringVar(&o.ablationList)
	cmd.Action(func(*kingpin.ParseContext) error { return a.bench(o) })
}

func (a *app) bench(o benchOptions) error {
	if o.Seeds < 1 {
		return fmt.Errorf("--seeds %d: at least 1 is needed", o.Seeds)
	}
	if err := o.selectPolicies(); err != nil {
		return err
	}
	scenarios := []string{o.Scenario}
	if o.Scenario == allScenarios {
		scenarios = nil
		for _, s := range bench.Scenarios() {
			scenarios = append(scenarios, s.Name)
		}
	}
	for _, name := range scenarios {
		o.Scenario = name
		o.Progress = a.benchProgress(name)
		result, err := bench.Run(a.ctx, o.Options)
		if err != nil {
			return err
		}
		if a.output != "json" {
			fmt.Fprintln(a.stdout, result)
			continue
		}
		line, err := result.JSON()
		if err != nil {
			return err
		}
		fmt.Fprintln(a.stdout, line)
	}
	return nil
}

// selectPolicies sets Policies from --policies and Variants from --ablation. If only --ablation is given, the
// variants are compared with ablationPolicy only.
func (o *benchOptions) selectPolicies() error {
	o.Policies = splitList(o.policyList)
	mechanisms := splitList(o.ablationList)
	if len(mechanisms) == 0 {
		return nil
	}
	if len(o.Policies) == 0 {
		o.Policies = []string{ablationPolicy}
	}
	variants, err := bench.AblationVariants(ablationPolicy, mechanisms...)
	if err != nil {
		return fmt.Errorf("--ablation: %w", err)
	}
	o.Variants = variants
	return nil
}

// splitList splits a list at commas and spaces.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}

// benchProgress returns a function that prints the progress to standard error, or nil when standard error is
// not a character device such as a terminal. The function is safe for concurrent use.
func (a *app) benchProgress(scenario string) func(done, total int) {
	if !isCharDevice(a.stderr) {
		return nil
	}
	var mu sync.Mutex
	highest := 0 // Runs finish concurrently, so the calls may be out of order.
	return func(done, total int) {
		mu.Lock()
		defer mu.Unlock()
		highest = max(highest, done)
		fmt.Fprintf(a.stderr, "\r%s: %d of %d runs", scenario, highest, total)
		if highest == total {
			fmt.Fprintln(a.stderr)
		}
	}
}

// isCharDevice reports whether an output is a character device, such as a terminal or /dev/null.
func isCharDevice(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
