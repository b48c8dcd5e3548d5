package bench_test

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/chivewind/chivewind/internal/bench"
)

// ExampleRun guards against results that differ between runs with the same seed, and against a change of the
// simulation or of a policy that alters the results unnoticed.
func ExampleRun() {
	result, err := bench.Run(context.Background(), bench.Options{
		Scenario:   "burst",
		Deployment: "almaty",
		Seed:       1,
		Seeds:      1,
		Policies:   []string{"fifo_roundrobin", "fifo_least", "strict_least"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(result.Policies)) {
		p := result.Policies[name]
		fmt.Printf("%s: lot_status %.1f%%, broker %.1f%%, goodput %.0f tokens/s, wasted %.1f%%\n", name,
			100*p.Classes["lot_status"].Attainment, 100*p.Classes["broker"].Attainment, p.Goodput, 100*p.WastedWork)
	}
	// Output:
	// fifo_least: lot_status 20.0%, broker 78.0%, goodput 6209 tokens/s, wasted 0.9%
	// fifo_roundrobin: lot_status 19.9%, broker 78.4%, goodput 6220 tokens/s, wasted 0.9%
	// strict_least: lot_status 19.8%, broker 76.0%, goodput 6152 tokens/s, wasted 0.9%
}
