package promtext

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestWrite guards against output that a Prometheus server cannot parse, and against seconds and
// nanoseconds mixed up.
func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(Name("c_total", "class", "quick"), r).Inc(3)
	metrics.GetOrRegisterCounter(Name("c_total", "class", "slow"), r).Inc(4)
	metrics.GetOrRegisterGauge("g", r).Update(7)
	metrics.GetOrRegisterTimer(Name("t_seconds", "class", "quick"), r).Update(2 * time.Second)
	var b strings.Builder
	if err := Write(&b, r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"# TYPE c_total counter\nc_total{class=\"quick\"} 3\nc_total{class=\"slow\"} 4\n",
		"# TYPE g gauge\ng 7\n",
		"t_seconds{class=\"quick\",quantile=\"0.5\"} 2\n",
		"t_seconds_count{class=\"quick\"} 1\n",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, b.String())
		}
	}
}
