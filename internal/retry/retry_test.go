package retry

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSafe guards against a retry that could run a non-idempotent request twice.
func TestSafe(t *testing.T) {
	cases := []struct {
		desc string
		f    Failure
		want bool
	}{
		{"idempotent, not started", Failure{}, true},
		{"idempotent, started", Failure{MayHaveRun: true}, true},
		{"non-idempotent, not started", Failure{NonIdempotent: true}, true},
		{"non-idempotent, started", Failure{NonIdempotent: true, MayHaveRun: true}, false},
	}
	for _, c := range cases {
		if got := Safe(c.f); got != c.want {
			t.Errorf("%s: %v, want %v", c.desc, got, c.want)
		}
	}
}

// TestUseful guards against a retry that cannot end before the deadline.
func TestUseful(t *testing.T) {
	cases := []struct {
		desc     string
		deadline time.Time
		duration time.Duration
		want     bool
	}{
		{"no deadline", time.Time{}, time.Hour, true},
		{"time enough", start.Add(time.Second), 500 * time.Millisecond, true},
		{"less time left than the retry takes", start.Add(time.Second), 2 * time.Second, false},
		{"at most minRemaining left", start.Add(10 * time.Millisecond), 0, false},
		{"past", start.Add(-time.Second), 0, false},
	}
	for _, c := range cases {
		if got := FitsDeadline(start, c.deadline, c.duration); got != c.want {
			t.Errorf("%s: %v, want %v", c.desc, got, c.want)
		}
	}
}

// TestBudget guards against a retry storm of one class or of all classes together, and against a budget
// that does not recover after the window.
func TestBudget(t *testing.T) {
	take := func(b *Budget, at time.Duration, class string, n int) int {
		taken := 0
		for range n {
			if b.Take(start.Add(at), class) {
				taken++
			}
		}
		return taken
	}
	b := NewBudget(Options{Reserve: 5})
	for i := range 1000 {
		b.CountRequest(start.Add(time.Duration(i)*time.Millisecond), "quick")
	}
	b.CountRequest(start, "slow")
	if got := take(b, time.Second, "slow", 50); got != 5 {
		t.Errorf("a class with one request got %d retries, want the reserve of 5", got)
	}
	if got := take(b, time.Second, "quick", 500); got != 95 {
		t.Errorf("a class with 1000 of 1001 requests got %d retries, want the 95 that remain for all classes", got)
	}
	if got := take(b, DefaultWindow+2*time.Second, "quick", 50); got != 5 {
		t.Errorf("after the window: %d retries, want the reserve of 5", got)
	}
}
