package entry

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/platform"
)

// stats holds the metrics of the request path. docs/metrics.md lists them.
type stats struct {
	registry metrics.Registry
	version  metrics.Gauge
	revision metrics.Gauge
	era      metrics.Gauge
	ready    metrics.Gauge
	active   metrics.Gauge
	// paced is the number of endpoints with a limit on their requests in progress.
	paced metrics.Gauge
}

func newStats(r metrics.Registry) *stats {
	return &stats{
		registry: r,
		version:  metrics.GetOrRegisterGauge("chivewind_entry_table_version", r),
		revision: metrics.GetOrRegisterGauge("chivewind_entry_store_revision", r),
		era:      metrics.GetOrRegisterGauge("chivewind_entry_store_era", r),
		ready:    metrics.GetOrRegisterGauge("chivewind_entry_endpoints_ready", r),
		active:   metrics.GetOrRegisterGauge("chivewind_entry_requests_in_progress", r),
		paced:    metrics.GetOrRegisterGauge("chivewind_entry_endpoints_paced", r),
	}
}

// updateView sets the gauges that describe the configuration in force.
func (s *stats) updateView(v *fleet.View) {
	s.revision.Update(platform.NumberOf(v.Revision))
	s.era.Update(platform.EraOf(v.Revision))
	if v.Table != nil {
		s.version.Update(v.Table.Version)
	}
	ready := 0
	for _, list := range v.ByPool {
		ready += len(list)
	}
	s.ready.Update(int64(ready))
}

// count increments a counter. labels are alternating names and values.
func (s *stats) count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(promtext.Name(name, labels...), s.registry).Inc(1)
}

// observe records a duration, in microseconds, in the histogram of a class.
func (s *stats) observe(name, class string, d time.Duration) {
	h := s.registry.GetOrRegister(promtext.Name(name, "class", class), newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

func newHistogram() metrics.Histogram {
	// samples limits the memory of a histogram. A uniform sample of 256 values estimates the 95th percentile with
	// a rank error of about 3 in 100.
	const samples = 256
	return metrics.NewHistogram(metrics.NewUniformSample(samples))
}

// countRequest counts a request that has ended.
func (s *stats) countRequest(class string, status int, reason Reason) {
	s.count("chivewind_entry_requests_total", "class", class, "status", strconv.Itoa(status), "reason", string(reason))
}
