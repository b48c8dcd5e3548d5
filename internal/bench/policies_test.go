package bench

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
)

var (
	seedFlag     = flag.Uint64("seed", 1, "first seed of BenchmarkPolicies")
	seedsFlag    = flag.Int("seeds", 10, "number of seeds of BenchmarkPolicies")
	policiesFlag = flag.String("policies", "", "comma-separated policies of BenchmarkPolicies; empty means all")
	withoutFlag  = flag.String("without", "", "comma-separated mechanisms that variants of the tiered policy turn off")
	daemonsFlag  = flag.Int("independent", 0, "number of daemons of a variant in which each schedules for itself; 0 for none")
	lineFlag     = flag.Bool("line", false, "print results of BenchmarkPolicies as one JSON line each")
)

// BenchmarkPolicies prints the tables of docs/MEASUREMENTS.md. Run it with -benchtime 1x and select
// scenarios with -bench, for example -bench Policies/hokkaido/burst.
func BenchmarkPolicies(b *testing.B) {
	o := Options{Seed: *seedFlag, Seeds: *seedsFlag, Workers: 3}
	if *policiesFlag != "" {
		o.Policies = strings.Split(*policiesFlag, ",")
	}
	if *withoutFlag != "" {
		var err error
		if o.Variants, err = AblationVariants("policy.tiered", strings.Split(*withoutFlag, ",")...); err != nil {
			b.Fatal(err)
		}
	}
	if *daemonsFlag > 0 {
		independent, err := IndependentVariant("policy.tiered", *daemonsFlag)
		if err != nil {
			b.Fatal(err)
		}
		if o.Variants == nil {
			o.Variants = independent
		}
		maps.Copy(o.Variants, independent)
	}
	for _, deployment := range Deployments() {
		for _, sc := range Scenarios() {
			b.Run(deployment+"/"+sc.Name, func(b *testing.B) {
				o.Deployment, o.Scenario = deployment, sc.Name
				for b.Loop() {
					r, err := Run(context.Background(), o)
					if err != nil {
						b.Fatal(err)
					}
					text := r.String()
					if *lineFlag {
						if text, err = r.JSON(); err != nil {
							b.Fatal(err)
						}
					}
					// Print to standard output, because the log of a benchmark is truncated after a few lines.
					fmt.Printf("\n%s\n%s\n", sc.Description, text)
				}
			})
		}
	}
}
