package estimate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestHistogramQuantiles guards against quantiles whose error exceeds the width of a bucket.
func TestHistogramQuantiles(t *testing.T) {
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	var h Histogram
	var values []float64
	for range 2000 {
		v := math.Exp(5 + rng.NormFloat64())
		values = append(values, v)
		h.Add(v)
	}
	slices.Sort(values)
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
		want := values[int(q*2000)]
		got, ok := h.Quantile(q, 0)
		if !ok || got < want/1.2 || got > want*1.2 {
			t.Errorf("seed %d: quantile %v is %v, want about %v", seed, q, got, want)
		}
	}
	if _, ok := h.Quantile(0.5, 1e6); ok {
		t.Error("a quantile above all values")
	}
}

// TestHistogramDecay guards against a prediction that keeps its value after the output lengths have changed.
func TestHistogramDecay(t *testing.T) {
	var h Histogram
	for range 3000 {
		h.Add(100)
	}
	for range 5000 {
		h.Add(1000)
	}
	if got, _ := h.Quantile(0.5, 0); got < 900 {
		t.Errorf("median %v after the lengths have changed to 1000", got)
	}
	if h.Weight() > maxWeight {
		t.Errorf("weight %v", h.Weight())
	}
}

// TestTokens guards against predictions that are below the number of tokens already generated or above the
// limit, and against predictions that ignore the tokens already generated.
func TestTokens(t *testing.T) {
	s := New().Series(Key{Class: "a", Model: "m"})
	if got := s.OutputTokensQuantile(0.5, 0, 100); got != 100 {
		t.Errorf("%d tokens predicted without history, limit 100", got)
	}
	for i := range 100 {
		// Half of the answers are short, half are long.
		s.AddCompletion(50+950*(i%2), 10*time.Second)
		s.AddInterToken(20 * time.Millisecond)
		s.AddFirstToken(300 * time.Millisecond)
	}
	for _, c := range []struct {
		desc        string
		q           float64
		have, limit int
		low, high   int
	}{
		{"short half", 0.4, 0, 0, 45, 60},
		{"long half", 0.9, 0, 0, 950, 1200},
		{"a running answer that is not one of the short ones", 0.4, 100, 0, 950, 1200},
		{"limit", 0.9, 0, 200, 200, 200},
		{"longer than all known", 0.5, 3000, 0, 3000, 6000},
	} {
		if got := s.OutputTokensQuantile(c.q, c.have, c.limit); got < c.low || got > c.high {
			t.Errorf("%s: %d tokens, want %d to %d", c.desc, got, c.low, c.high)
		}
	}
	if got := s.FirstTokenQuantile(0.9); got < 250*time.Millisecond || got > 400*time.Millisecond {
		t.Errorf("first token after %s", got)
	}
	if got := s.RemainingDuration(900, 0, 0); got > 6*time.Second {
		t.Errorf("rest of an answer near its end: %s", got)
	}
	if got := s.DurationQuantile(0.9, 0); got < 18*time.Second || got > 26*time.Second {
		t.Errorf("total %s, want about 20 s", got)
	}
}

// TestKeep guards against a memory leak: the series of deleted classes must be removed.
func TestKeep(t *testing.T) {
	e := New()
	e.Series(Key{Class: "old"})
	e.Series(Key{Class: "new"})
	e.RetainClasses(func(class string) bool { return class == "new" })
	if len(e.series) != 1 {
		t.Errorf("%d series left", len(e.series))
	}
}
