// Package promtext writes a go-metrics registry in the Prometheus text exposition format.
//
// A metric's registry name contains its labels, for example
// chivewind_requests_total{class="quick",outcome="completed"}; Name builds such names.
package promtext

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Name builds a registry name from a metric's name and alternating label names and values.
func Name(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Handler returns an HTTP handler that serves the registry's metrics.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		Write(w, r)
	})
}

// Write writes all metrics of the registry to w, sorted by registry name.
func Write(w io.Writer, r metrics.Registry) error {
	all := map[string]any{}
	var names []string
	r.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	out := bufio.NewWriter(w)
	family := ""
	for _, name := range names {
		base, labels := splitName(name)
		kind := metricType(all[name])
		base = prometheusName(base, kind)
		if base != family && kind != "" {
			fmt.Fprintf(out, "# TYPE %s %s\n", base, kind)
			family = base
		}
		writeMetric(out, base, labels, all[name])
	}
	return out.Flush()
}

// splitName splits a registry name into the metric's name and its labels without braces.
func splitName(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

// metricType returns the Prometheus type of a metric, or "" for a type that is not exported.
func metricType(m any) string {
	switch m.(type) {
	case metrics.Counter, metrics.Meter:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	case metrics.Histogram, metrics.Timer:
		return "summary"
	}
	return ""
}

func writeMetric(w io.Writer, base, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		writeSample(w, base, labels, float64(m.Count()))
	case metrics.Meter:
		writeSample(w, base, labels, float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, base, labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, base, labels, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, base, labels, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	case metrics.Timer:
		// Timer.Snapshot panics on a timer whose meter is a NilMeter, so the values are read directly.
		values := m.Percentiles(quantiles)
		for i := range values {
			values[i] /= 1e9 // Timers count in nanoseconds; Prometheus expects seconds.
		}
		writeSummary(w, base, labels, values, m.Count(), float64(m.Sum())/1e9)
	}
}

func writeSummary(w io.Writer, base, labels string, values []float64, count int64, sum float64) {
	for i, q := range quantiles {
		label := fmt.Sprintf("quantile=%q", fmt.Sprint(q))
		if labels != "" {
			label = labels + "," + label
		}
		writeSample(w, base, label, values[i])
	}
	writeSample(w, base+"_sum", labels, sum)
	writeSample(w, base+"_count", labels, float64(count))
}

func writeSample(w io.Writer, name, labels string, v float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s %v\n", name, labels, v)
}
