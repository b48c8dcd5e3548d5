package dispatch

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
)

// measures of one class: attainment of its targets, useful tokens and wasted work.
type measures struct {
	registry metrics.Registry
	class    string

	attained metrics.Counter
	// useful counts tokens of completed answers, wasted those that endpoints generated beyond them.
	useful metrics.Counter
	wasted metrics.Counter
	// firstToken and total are counted from the request's arrival.
	firstToken metrics.Timer
	total      metrics.Timer
}

// measuresOf returns the measures of a class.
func (d *Dispatcher) measuresOf(class string) *measures {
	if m, ok := d.measures.Load(class); ok {
		return m.(*measures)
	}
	r := d.o.Metrics
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(fmt.Sprintf("chivewind_%s{class=%q}", name, class), r)
	}
	timer := func(name string) metrics.Timer {
		// A timer without a meter needs no goroutine of its own; rates follow from the count.
		return r.GetOrRegister(fmt.Sprintf("chivewind_%s{class=%q}", name, class), func() metrics.Timer {
			return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)), metrics.NilMeter{})
		}).(metrics.Timer)
	}
	m, _ := d.measures.LoadOrStore(class, &measures{
		registry: r, class: class,
		attained: counter("requests_attained_total"),
		useful:   counter("tokens_useful_total"), wasted: counter("tokens_wasted_total"),
		firstToken: timer("first_token_seconds"), total: timer("answer_seconds"),
	})
	return m.(*measures)
}

// timing is when a request's answer came.
type timing struct {
	// firstToken and total are counted from the arrival; firstToken is 0 without a token.
	firstToken time.Duration
	total      time.Duration
	tokens     int
}

// betweenTokens is the mean time between tokens.
func (t timing) betweenTokens() time.Duration {
	if t.tokens < 2 || t.firstToken == 0 {
		return 0
	}
	return (t.total - t.firstToken) / time.Duration(t.tokens-1)
}

// attains says whether a completed answer met all targets of its class. An answer that is not streamed
// reaches its caller as a whole, but its first token counts as for a stream.
func (t timing) attains(c config.Class) bool {
	first := t.firstToken
	if first == 0 {
		first = t.total
	}
	within := func(v time.Duration, target config.Duration) bool { return target == 0 || v <= target.D() }
	return within(first, c.FirstToken) && within(t.betweenTokens(), c.BetweenTokens) && within(t.total, c.Total)
}

// measure records the end of a request.
func (r *run) measure(res Result) {
	m := r.d.measuresOf(r.r.Class.Name)
	metrics.GetOrRegisterCounter(
		fmt.Sprintf("chivewind_requests_total{class=%q,outcome=%q}", m.class, res.Outcome), m.registry).Inc(1)
	r.relay.mu.Lock()
	t := timing{total: time.Since(r.r.Arrival), tokens: r.relay.tokens}
	if !r.relay.firstToken.IsZero() {
		t.firstToken = r.relay.firstToken.Sub(r.r.Arrival)
	}
	r.relay.mu.Unlock()
	if res.Outcome != Completed {
		m.wasted.Inc(int64(r.generated))
		return
	}
	m.useful.Inc(int64(t.tokens))
	m.wasted.Inc(int64(max(r.generated-t.tokens, 0)))
	m.total.Update(t.total)
	if t.firstToken > 0 {
		m.firstToken.Update(t.firstToken)
	}
	if t.attains(r.r.Class) {
		m.attained.Inc(1)
	}
}
