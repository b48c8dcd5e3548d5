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

// classTraffic describes the requests of one class.
type classTraffic struct {
	class string
	// rate is in requests/s; burst is added to it during the burst.
	rate, burst float64
	// minTokens and maxTokens bound the length of the answers.
	minTokens, maxTokens int
}

// trafficMix uses about half of the engines' slots. During the burst, the class notes alone needs 1.6 times
// the slots of all engines.
var trafficMix = []classTraffic{
	{class: "quick", rate: 40, minTokens: 10, maxTokens: 30},
	{class: "notes", rate: 8, burst: 80, minTokens: 40, maxTokens: 80},
	{class: "long", rate: 2, minTokens: 100, maxTokens: 200},
}

// The callers' behaviour.
const (
	bookingRate = 10.0 // bookings/s
	// resendShare is the share of bookings that the caller sends twice at the same time, each to a randomly
	// chosen daemon; abandonShare is the share whose caller closes the first connection early.
	resendShare  = 0.3
	abandonShare = 0.1
	// bookingAttempts is the maximum number of consecutive requests of a booking, resendDelay the pause
	// between them.
	bookingAttempts = 5
	resendDelay     = 200 * time.Millisecond
	// callerTimeout bounds one request.
	callerTimeout = 30 * time.Second
)

// loadGenerator sends the callers' requests and records what the callers received as events for the checker.
type loadGenerator struct {
	fleet       *fleet
	seed        uint64
	startedAt   time.Time
	client      *http.Client
	burstActive atomic.Bool
	// wg counts the generators and the callers that wait for an answer.
	wg sync.WaitGroup
	// lastNumber is the last number that was used in a request id or a booking key.
	lastNumber atomic.Int64

	mu              sync.Mutex
	events          []checker.Event
	chats           []chatRequest
	bookingRequests []bookingRequest
	entryURLs       []string
	entryURLsExpire time.Time
}

// bookingRequest is one HTTP request of a booking: its request id and the booking's idempotency key.
type bookingRequest struct{ id, key string }

func newLoadGenerator(f *fleet, o Options) *loadGenerator {
	const connections = 512
	return &loadGenerator{fleet: f, seed: o.Seed, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
}

// start starts one generator per class and one for bookings. Arrivals do not wait for answers.
func (l *loadGenerator) start(ctx context.Context) {
	l.startedAt = time.Now()
	for i, t := range trafficMix {
		l.generate(ctx, uint64(i), t.rate+t.burst, func(rng *rand.Rand) {
			// The generator runs at the rate of the burst. Outside the burst, a random part of the arrivals
			// is dropped, so that the mean rate is t.rate.
			if !l.burstActive.Load() && rng.Float64()*(t.rate+t.burst) >= t.rate {
				return
			}
			c := l.newChat(t, rng)
			l.wg.Go(func() { l.runChat(c) })
		})
	}
	l.generate(ctx, uint64(len(trafficMix)), bookingRate, func(rng *rand.Rand) {
		b := booking{key: fmt.Sprintf("booking-%d", l.lastNumber.Add(1)), resend: rng.Float64() < resendShare}
		if rng.Float64() < abandonShare {
			b.abandonAfter = time.Duration(1 + rng.Int64N(int64(10*time.Millisecond)))
		}
		l.wg.Go(func() { l.sendBooking(b) })
	})
}

// generate calls onArrival with exponentially distributed intervals at a mean rate in calls/s until ctx is
// done. stream selects the random stream, so that each generator has its own.
func (l *loadGenerator) generate(ctx context.Context, stream uint64, rate float64, onArrival func(*rand.Rand)) {
	rng := rand.New(rand.NewPCG(l.seed, stream))
	l.wg.Go(func() {
		next := time.Duration(0)
		for {
			next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			select {
			case <-ctx.Done():
				return
			case <-time.After(next - time.Since(l.startedAt)):
				onArrival(rng)
			}
		}
	})
}

// newChat returns the next chat completion of a class. The stand-in engine reads the number of answer tokens
// from "length=N" in the prompt.
func (l *loadGenerator) newChat(t classTraffic, rng *rand.Rand) chatRequest {
	n := l.lastNumber.Add(1)
	length := t.minTokens + rng.IntN(t.maxTokens-t.minTokens+1)
	prompt := fmt.Sprintf("species %d, question %d, length=%d", rng.IntN(5), n, length)
	return chatRequest{id: fmt.Sprintf("chat-%d", n), class: t.class, prompt: prompt, want: engine.Answer(engine.ChatPrompt(prompt), 0), tokens: length}
}

// wait waits until all callers have ended, at most for limit.
func (l *loadGenerator) wait(limit time.Duration) {
	done := make(chan struct{})
	go func() { l.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

func (l *loadGenerator) record(e checker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.startedAt)
	l.events = append(l.events, e)
}

// recordSent records that a caller sent a request.
func (l *loadGenerator) recordSent(id string) {
	l.record(checker.Event{Kind: checker.CallerSent, Request: id})
}

// recordEnd records the end of a request. It records nothing for a request without an outcome, so that the
// checker reports the request as lost.
func (l *loadGenerator) recordEnd(e checker.Event) {
	if e.Outcome == "" {
		return
	}
	e.Kind = checker.CallerDone
	l.record(e)
}

// runChat sends one chat completion and records its end.
func (l *loadGenerator) runChat(c chatRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	l.recordSent(c.id)
	l.sendChat(ctx, &c)
	l.recordEnd(checker.Event{Request: c.id, Outcome: c.outcome, Got: c.got, Want: c.want})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chats = append(l.chats, c)
}

// booking is one non-idempotent operation and the behaviour of its caller.
type booking struct {
	key          string
	resend       bool
	abandonAfter time.Duration
}

// sendBooking sends a booking, always with the same key, until it is completed, its outcome is unknown, or
// bookingAttempts are used up.
func (l *loadGenerator) sendBooking(b booking) {
	if b.resend {
		l.wg.Go(func() { l.sendBookingOnce(b.key, 0) })
	}
	for range bookingAttempts {
		switch l.sendBookingOnce(b.key, b.abandonAfter) {
		case checker.Completed, checker.Unknown:
			return
		}
		b.abandonAfter = 0
		time.Sleep(resendDelay)
	}
}

// sendBookingOnce sends one request of a booking and returns its outcome. A positive abandonAfter is the time
// after which the caller closes the connection.
func (l *loadGenerator) sendBookingOnce(key string, abandonAfter time.Duration) checker.Outcome {
	limit := callerTimeout
	if abandonAfter > 0 {
		limit = abandonAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request := bookingRequest{id: fmt.Sprintf("%s/%d", key, l.lastNumber.Add(1)), key: key}
	l.mu.Lock()
	l.bookingRequests = append(l.bookingRequests, request)
	l.mu.Unlock()
	l.recordSent(request.id)
	body := `{"tree":"` + key + `"}`
	outcome, got := l.postBooking(ctx, request, body)
	if outcome == "" && abandonAfter > 0 && ctx.Err() != nil {
		outcome = checker.Abandoned
	}
	l.recordEnd(checker.Event{Request: request.id, Outcome: outcome, Got: got, Want: body})
	return outcome
}

// classByName returns the configuration of a class, or a zero Class if there is none.
func (l *loadGenerator) classByName(name string) config.Class {
	for _, c := range l.fleet.config.Presets[0].Classes {
		if c.Name == name {
			return c
		}
	}
	return config.Class{}
}
