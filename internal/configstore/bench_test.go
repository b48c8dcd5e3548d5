package configstore

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster/clustertest"
)

// targetConfig returns a configuration of the target scale: 8,500 workspaces and 600 endpoints.
func targetConfig() *config.Config {
	c := testConfig()
	c.Workspaces = nil
	for i := range 8500 {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i), DefaultClass: "quick", KeyHashes: []string{strings.Repeat("ab", 32)},
		})
	}
	for i := range 600 {
		c.Endpoints = append(c.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("runner-%03d", i), Pool: "judges", URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
			Zone: fmt.Sprint("zone-", i%7), VM: fmt.Sprintf("vm-%03d", i),
		})
	}
	return c
}

// BenchmarkAssemble measures the time from receiving the documents of a change of one workspace to the
// active snapshot, on one daemon at the target scale.
func BenchmarkAssemble(b *testing.B) {
	s := New(Options{
		Members: clustertest.NewMembers("a", "a"), Documents: clustertest.NewDocuments(),
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	c := targetConfig()
	var h head
	var size, largest int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		c.Workspaces[0].Weight = float64(i + 2)
		parts, err := encodeParts(c, nil)
		if err != nil {
			b.Fatal(err)
		}
		h, _, _ = h.successor(h.Revision+1, "day", "attempt", parts)
		raw, err := json.Marshal(h)
		if err != nil {
			b.Fatal(err)
		}
		size, largest = len(raw), 0
		for _, part := range parts {
			size, largest = size+len(part), max(largest, len(part))
		}
		b.StartTimer()
		s.publish(&h, raw, parts)
		if !s.assemble() || s.Snapshot().Revision != h.Revision {
			b.Fatal("no snapshot")
		}
	}
	b.ReportMetric(float64(size)/1024, "KiB")
	b.ReportMetric(float64(largest)/1024, "largest-KiB")
}
