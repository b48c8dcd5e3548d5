package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// JSON returns the result as one line of JSON.
func (r Result) JSON() (string, error) {
	line, err := json.Marshal(r)
	return string(line), err
}

// String returns the result as two tables: one with a row per policy, and one with a row per class and
// policy.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Scenario %s, deployment %s, seeds %d to %d: medians over seeds, with the smallest and the largest value.\n\n",
		r.Scenario, r.Deployment, r.Seed, r.Seed+uint64(r.Seeds)-1)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	r.writePolicies(w)
	w.Flush()
	fmt.Fprintln(&b)
	r.writeClasses(w)
	w.Flush()
	return b.String()
}

func (r Result) writePolicies(w *tabwriter.Writer) {
	fmt.Fprintln(w, "policy\tgoodput tokens/s\tof bound\twasted\tsheds by tier\ttier violations\tlowest class min/median")
	for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
		p := r.Policies[name]
		if p.InvalidDecisions > 0 {
			name += fmt.Sprintf(" (%d invalid decisions)", p.InvalidDecisions)
		}
		fmt.Fprintf(w, "%s\t%.0f (%.0f to %.0f)\t%s\t%s%s\t%s\t%d\t%s/%s\n",
			name, p.Goodput, p.GoodputSpread.Min, p.GoodputSpread.Max, formatPercent(p.GoodputShare),
			formatPercent(p.WastedWork), formatWaste(p.WastedByReason), formatSheds(p.ShedsByTier), p.TierViolations,
			formatPercent(p.LowestShareMin), formatPercent(p.LowestShare))
	}
}

func (r Result) writeClasses(w *tabwriter.Writer) {
	fmt.Fprintln(w, "class\tpolicy\tattainment\tsmall workspaces\tcompleted\tshed\tabandoned\texpired\tfailed\tp95 first token\tp95 between tokens\tmedian wait of shed")
	for _, name := range slices.Sorted(maps.Keys(r.Policies)) {
		classes := r.Policies[name].Classes
		for _, class := range slices.Sorted(maps.Keys(classes)) {
			c := classes[class]
			fmt.Fprintf(w, "%s\t%s\t%s (%s to %s)\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f ms\t%.1f ms\t%.0f ms\n",
				class, name, formatPercent(c.Attainment), formatPercent(c.AttainmentSpread.Min),
				formatPercent(c.AttainmentSpread.Max), formatPercent(c.AttainmentSmall), formatPercent(c.Completed),
				formatPercent(c.Shed), formatPercent(c.Abandoned), formatPercent(c.Expired), formatPercent(c.Failed),
				c.FirstTokenP95, c.BetweenTokensP95, c.ShedWait)
		}
	}
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// formatWaste lists the reasons of wasted work whose share rounds to at least 0.1%.
func formatWaste(shares map[string]float64) string {
	var parts []string
	for _, name := range wasteReasonNames {
		if shares[name] >= 0.0005 {
			parts = append(parts, name+" "+formatPercent(shares[name]))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

func formatSheds(sheds map[int]int) string {
	var parts []string
	for _, tier := range slices.Sorted(maps.Keys(sheds)) {
		parts = append(parts, fmt.Sprintf("%d: %d", tier, sheds[tier]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
