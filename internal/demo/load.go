package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/standin/engine"
)

// traffic is the traffic of one class.
type traffic struct {
	class string
	// rate is in requests/s; burst is the rate that is added during the burst.
	rate, burst float64
	// minTokens and maxTokens bound the length of answers.
	minTokens, maxTokens int
}

// mix is about half of the engines' slots; the burst is 1.6 times all of them.
var mix = []traffic{
	{class: "quick", rate: 40, minTokens: 10, maxTokens: 30},
	{class: "notes", rate: 8, burst: 80, minTokens: 40, maxTokens: 80},
	{class: "long", rate: 2, minTokens: 100, maxTokens: 200},
}

// The callers' behaviour.
const (
	bookingRate = 10.0
	// resendShare is the share of bookings that an impatient caller sends a second time through
	// another daemon at once; abandonShare is the share whose first connection it closes early.
	resendShare  = 0.3
	abandonShare = 0.1
	bookingTries = 5
	resendPause  = 200 * time.Millisecond
	callerLimit  = 30 * time.Second
)

// load is the load generator. It keeps what callers saw in the form that the checker reads.
type load struct {
	fleet  *fleet
	seed   uint64
	began  time.Time
	client *http.Client
	burst  atomic.Bool
	wg     sync.WaitGroup
	number atomic.Int64

	mu       sync.Mutex
	events   []checker.Event
	chats    []chat
	sends    []send
	entries  []string
	keptTill time.Time
}

// send is one HTTP request of a booking.
type send struct{ id, key string }

func newLoad(f *fleet, o Options) *load {
	const connections = 512
	return &load{fleet: f, seed: o.Seed, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
}

// start begins one generator per class and one for bookings. Arrivals do not wait for answers.
func (l *load) start(ctx context.Context) {
	l.began = time.Now()
	for i, t := range mix {
		l.generate(ctx, uint64(i), t.rate+t.burst, func(rng *rand.Rand) {
			if !l.burst.Load() && rng.Float64()*(t.rate+t.burst) >= t.rate {
				return
			}
			c := l.newChat(t, rng)
			l.wg.Go(func() { l.chat(c) })
		})
	}
	l.generate(ctx, uint64(len(mix)), bookingRate, func(rng *rand.Rand) {
		b := booking{key: fmt.Sprintf("booking-%d", l.number.Add(1)), resend: rng.Float64() < resendShare}
		if rng.Float64() < abandonShare {
			b.abandonAfter = time.Duration(1 + rng.Int64N(int64(10*time.Millisecond)))
		}
		l.wg.Go(func() { l.book(b) })
	})
}

// generate calls arrive at exponentially distributed times.
func (l *load) generate(ctx context.Context, stream uint64, rate float64, arrive func(*rand.Rand)) {
	rng := rand.New(rand.NewPCG(l.seed, stream))
	l.wg.Go(func() {
		next := time.Duration(0)
		for {
			next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			select {
			case <-ctx.Done():
				return
			case <-time.After(next - time.Since(l.began)):
				arrive(rng)
			}
		}
	})
}

func (l *load) newChat(t traffic, rng *rand.Rand) chat {
	n := l.number.Add(1)
	length := t.minTokens + rng.IntN(t.maxTokens-t.minTokens+1)
	prompt := fmt.Sprintf("species %d, question %d, length=%d", rng.IntN(5), n, length)
	return chat{id: fmt.Sprintf("chat-%d", n), class: t.class, prompt: prompt, want: engine.Answer(engine.ChatPrompt(prompt), 0), tokens: length}
}

// wait waits for the answers of all callers.
func (l *load) wait(limit time.Duration) {
	done := make(chan struct{})
	go func() { l.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

func (l *load) add(e checker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.began)
	l.events = append(l.events, e)
}

// sent logs that a caller sent a request; ended logs its end. A request that ended without an
// outcome, although its caller waited, has no end: it is lost.
func (l *load) sent(id string) { l.add(checker.Event{Kind: checker.CallerSent, Request: id}) }

func (l *load) ended(e checker.Event) {
	if e.Outcome == "" {
		return
	}
	e.Kind = checker.CallerDone
	l.add(e)
}

// chat sends one chat completion.
func (l *load) chat(c chat) {
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	l.sent(c.id)
	l.stream(ctx, &c)
	l.ended(checker.Event{Request: c.id, Outcome: c.outcome, Got: c.got, Want: c.want})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats = append(l.chats, c)
}

// booking is one non-idempotent call with the behaviour of its caller.
type booking struct {
	key          string
	resend       bool
	abandonAfter time.Duration
}

// book sends a booking until it is completed or its outcome is unknown, always with the same key.
func (l *load) book(b booking) {
	if b.resend {
		l.wg.Go(func() { l.bookOnce(b.key, 0) })
	}
	for range bookingTries {
		switch l.bookOnce(b.key, b.abandonAfter) {
		case checker.Completed, checker.Unknown:
			return
		}
		b.abandonAfter = 0
		time.Sleep(resendPause)
	}
}

// bookOnce sends one request of a booking.
func (l *load) bookOnce(key string, abandonAfter time.Duration) checker.Outcome {
	limit := callerLimit
	if abandonAfter > 0 {
		limit = abandonAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s := send{id: fmt.Sprintf("%s/%d", key, l.number.Add(1)), key: key}
	l.mu.Lock()
	l.sends = append(l.sends, s)
	l.mu.Unlock()
	l.sent(s.id)
	body := `{"tree":"` + key + `"}`
	outcome, got := l.post(ctx, s, body)
	if outcome == "" && abandonAfter > 0 && ctx.Err() != nil {
		outcome = checker.Abandoned
	}
	l.ended(checker.Event{Request: s.id, Outcome: outcome, Got: got, Want: body})
	return outcome
}

// class returns the settings of a class.
func (l *load) class(name string) config.Class {
	for _, c := range l.fleet.config.Presets[0].Classes {
		if c.Name == name {
			return c
		}
	}
	return config.Class{}
}
