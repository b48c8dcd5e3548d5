package health

import (
	"testing"
	"time"
)

// fleet simulates endpoints for a monitor: each streams one attempt at a speed in tokens per second.
type fleet struct {
	m         *Monitor
	now       time.Duration
	endpoints []*Endpoint
	speeds    []int
}

func newFleet(n int) *fleet {
	f := &fleet{m: NewMonitor()}
	for range n {
		e := f.m.Add()
		e.FirstToken(0)
		f.endpoints = append(f.endpoints, e)
		f.speeds = append(f.speeds, 40)
	}
	return f
}

// run reports progress at every tick. An endpoint with a negative speed reports nothing.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += TickInterval
		for i, e := range f.endpoints {
			if f.speeds[i] >= 0 && e.State() != Ejected {
				e.Progress(f.now, f.speeds[i]/2, TickInterval)
			}
		}
		f.m.Tick(f.now)
	}
}

func (f *fleet) count(s State) int {
	n := 0
	for _, e := range f.endpoints {
		if e.State() == s {
			n++
		}
	}
	return n
}

// TestStraggler guards against a slow endpoint that stays in use, against ejecting a healthy or slightly slower
// one, and against ejecting an endpoint for a short pause.
func TestStraggler(t *testing.T) {
	for _, c := range []struct {
		desc  string
		speed int
		after time.Duration
		want  State
	}{
		{"as fast as its peers", 40, 10 * time.Second, Ready},
		{"slightly slower", 25, 10 * time.Second, Ready},
		{"slow for one second", 8, time.Second, Ready},
		{"slow for four seconds", 8, 4 * time.Second, Ejected},
		{"stalled with reports", 0, 4 * time.Second, Ejected},
		{"stalled without reports", -1, 6 * time.Second, Ejected},
	} {
		f := newFleet(6)
		f.run(3 * time.Second)
		f.speeds[2] = c.speed
		f.run(c.after)
		if got := f.endpoints[2].State(); got != c.want {
			t.Errorf("%s: state %s, want %s", c.desc, got, c.want)
		}
		if f.count(Ready) < 5 {
			t.Errorf("%s: %d of 6 endpoints ready", c.desc, f.count(Ready))
		}
	}
}

// TestAtMostAThirdIsEjected guards against losing most of the capacity when a common cause makes many endpoints
// slow or crash: at most a third may be out of use.
func TestAtMostAThirdIsEjected(t *testing.T) {
	for n := 1; n <= 12; n++ {
		f := newFleet(n)
		f.run(3 * time.Second)
		for i := range n / 2 {
			f.speeds[i] = 5
		}
		f.run(5 * time.Second)
		if out := n - f.count(Ready); out > n/3 {
			t.Errorf("%d of %d endpoints out of use while half of them are slow", out, n)
		}
		limit := n / 3
		if n == 2 {
			limit = 1
		}
		for _, e := range f.endpoints {
			f.m.Crashed(f.now, e)
		}
		if out := n - f.count(Ready); out > limit {
			t.Errorf("%d of %d crashed endpoints out of use", out, n)
		}
	}
}

// TestReturn guards against an endpoint that returns with all of its slots or without a probe, and against an
// ejection period that does not grow after another failure.
func TestReturn(t *testing.T) {
	f := newFleet(3)
	e := f.endpoints[0]
	f.run(time.Second)
	e.AttemptEnded()
	f.m.Crashed(f.now, e)
	f.m.Crashed(f.now, e) // The second attempt that the same crash ended.
	f.run(4500 * time.Millisecond)
	if e.State() != Ejected {
		t.Fatalf("state %s before the period of 5 s is over", e.State())
	}
	f.run(time.Second)
	if e.State() != Probing {
		t.Fatalf("state %s after 5 s, want trial", e.State())
	}
	f.m.Failed(f.now, e)
	f.run(9 * time.Second)
	if e.State() != Ejected {
		t.Fatalf("state %s before the doubled period is over", e.State())
	}
	f.speeds[0] = -1
	f.run(1500 * time.Millisecond)
	if e.State() != Probing {
		t.Fatalf("state %s, want trial", e.State())
	}
	f.m.Succeeded(f.now, e)
	for _, want := range []float64{0.25, 0.5, 1, 1} {
		if e.State() != Ready || e.Share() != want {
			t.Errorf("state %s, share %v, want ready with %v", e.State(), e.Share(), want)
		}
		f.run(rampInterval)
	}
}

// TestFailuresInARowEject guards against an endpoint that fails every request, for example by refusing
// connections, and still receives requests.
func TestFailuresInARowEject(t *testing.T) {
	f := newFleet(3)
	e := f.endpoints[0]
	for range maxFailures - 1 {
		f.m.Failed(0, e)
	}
	f.m.Succeeded(0, e)
	f.m.Failed(0, e)
	if e.State() != Ready {
		t.Fatal("ejected although a success was in between")
	}
	for range maxFailures {
		f.m.Failed(0, e)
	}
	if e.State() != Ejected {
		t.Fatal("not ejected after failures in a row")
	}
}

// TestCrashBeyondTheLimit guards against an endpoint that stays in use although it keeps failing, because it could not be
// ejected while too many others were out of use.
func TestCrashBeyondTheLimit(t *testing.T) {
	f := newFleet(4)
	f.run(time.Second)
	e := f.endpoints[1]
	f.m.Crashed(f.now, f.endpoints[0])
	for range maxFailures {
		f.m.Failed(f.now, e)
	}
	if e.State() != Ready {
		t.Fatalf("state %s while another endpoint is out of use, want ready", e.State())
	}
	f.m.Remove(f.endpoints[0])
	f.m.Failed(f.now, e)
	if e.State() != Ejected {
		t.Errorf("state %s after another failure, want ejected", e.State())
	}
}
