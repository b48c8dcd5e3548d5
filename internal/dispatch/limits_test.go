package dispatch

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// TestFirstTokenLimit guards against attempts that are ended while the class's target still allows a
// response, and against unbounded waits for a silent endpoint.
func TestFirstTokenLimit(t *testing.T) {
	cases := []struct {
		desc       string
		kind       config.PoolKind
		stream     bool
		assembling bool
		first      time.Duration
		total      time.Duration
		want       time.Duration
	}{
		{"quick stream", config.KindEngine, true, false, 1200 * time.Millisecond, 0, 6 * time.Second},
		{"very quick stream", config.KindEngine, true, false, 100 * time.Millisecond, 0, 5 * time.Second},
		{"slow stream", config.KindEngine, true, false, 20 * time.Second, 0, time.Minute},
		{"stream without a target", config.KindEngine, true, false, 0, 10 * time.Minute, time.Minute},
		{"assembled response", config.KindEngine, false, true, time.Second, 0, 5 * time.Second},
		{"non-streaming response", config.KindEngine, false, false, time.Second, time.Hour, 3 * time.Hour},
		{"plain call", config.KindPlain, false, false, 0, 2 * time.Second, 10 * time.Second},
		{"long plain call", config.KindPlain, false, false, 0, 10 * time.Minute, 20 * time.Minute},
	}
	for _, c := range cases {
		r := &Request{
			Request: endpoint.Request{Stream: c.stream}, Pool: config.Pool{Kind: c.kind},
			Class: config.Class{FirstToken: config.Duration(c.first), Total: config.Duration(c.total)},
		}
		if got := firstTokenTimeout(r, c.assembling); got != c.want {
			t.Errorf("%s: %v, want %v", c.desc, got, c.want)
		}
	}
}

// TestLateByWallClock guards against an attempt that is started after a suspension of the VM during which
// only the wall clock advanced.
func TestLateByWallClock(t *testing.T) {
	now := time.Now()
	startBy := now.Add(time.Second)
	suspended := now.Round(0).Add(time.Hour)
	if startExpired(now, startBy) || !startExpired(now.Add(2*time.Second), startBy) || !startExpired(suspended, startBy) {
		t.Error("the start-by time is not checked on both clocks")
	}
}
