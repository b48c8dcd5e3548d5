package promtext

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestWrite guards against output that a Prometheus server cannot parse, and against timers exported in
// nanoseconds instead of seconds.
func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(Name("chivewind_c_total", "class", "quick"), r).Inc(3)
	metrics.GetOrRegisterCounter(Name("chivewind_c_total", "class", "slow"), r).Inc(4)
	metrics.GetOrRegisterGauge("ledger.partitions", r).Update(7)
	metrics.GetOrRegisterTimer(Name("chivewind_t_seconds", "class", "quick"), r).Update(2 * time.Second)
	var b strings.Builder
	if err := Write(&b, r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"# TYPE chivewind_c_total counter\nchivewind_c_total{class=\"quick\"} 3\nchivewind_c_total{class=\"slow\"} 4\n",
		"# TYPE chivewind_ledger_partitions gauge\nchivewind_ledger_partitions 7\n",
		"chivewind_t_seconds{class=\"quick\",quantile=\"0.5\"} 2\n",
		"chivewind_t_seconds_count{class=\"quick\"} 1\n",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, b.String())
		}
	}
}
