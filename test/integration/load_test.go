package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
)

// load is a group of callers that send chats and bookings until they are stopped.
type load struct {
	s            *system
	cancel       context.CancelFunc
	ctx          context.Context
	wg           sync.WaitGroup
	requestCount atomic.Int64

	mu sync.Mutex
	// outcomes counts responses by kind of request and outcome.
	outcomes map[string]int
}

// callerInterval is the time between a response and the next request of a caller.
const callerInterval = 15 * time.Millisecond

// startLoad starts callers that send chats and callers that send bookings. They look up entry addresses as real
// callers do.
func (s *system) startLoad(chatCallers, bookingCallers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{s: s, ctx: ctx, cancel: cancel, outcomes: map[string]int{}}
	s.t.Cleanup(func() { cancel(); l.wg.Wait() })
	for i := range chatCallers {
		l.startCaller(i, l.chat)
	}
	for i := range bookingCallers {
		l.startCaller(1000+i, l.book)
	}
	return l
}

// startCaller starts a caller; n selects its sequence of random numbers.
func (l *load) startCaller(n int, request func(*rand.Rand)) {
	rng := rand.New(rand.NewPCG(l.s.seed, uint64(n)))
	l.wg.Go(func() {
		for l.ctx.Err() == nil {
			request(rng)
			select {
			case <-time.After(callerInterval):
			case <-l.ctx.Done():
			}
		}
	})
}

// requireCompletions waits until the callers have completed another chat and then another booking. It fails the test
// if one of these waits exceeds recoveryTimeout. A booking that was sent while the ledger was unavailable can take
// longer than the recovery, so the end of requireRecovery does not imply that the callers have completed one.
func (l *load) requireCompletions() {
	l.s.t.Helper()
	for _, name := range []string{"chat " + string(checker.Completed), "booking " + string(checker.Completed)} {
		before := l.countOutcome(name)
		eventually(l.s.t, recoveryTimeout, "another "+name, func() error {
			if l.countOutcome(name) == before {
				return fmt.Errorf("still %d", before)
			}
			return nil
		})
	}
}

// countOutcome returns the number of responses of a kind of request and outcome, for example "chat completed".
func (l *load) countOutcome(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[name]
}

// finish stops the callers after their current request and returns the outcomes.
func (l *load) finish() map[string]int {
	l.cancel()
	l.wg.Wait()
	return l.outcomes
}

// maxLoggedFailures limits the responses that are logged for each kind of request and outcome.
const maxLoggedFailures = 3

func (l *load) recordOutcome(kind string, d *daemon, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := kind + " " + string(a.outcome)
	l.outcomes[name]++
	if a.outcome != checker.Completed && l.outcomes[name] <= maxLoggedFailures {
		l.s.t.Logf("%v %s through %s: status %d, cut %v, error %v, text %.300q", time.Since(l.s.log.start), name, d.id, a.status, a.cut, a.err, a.text)
	}
}

// pickEntryDaemon asks a random daemon for entry addresses and picks one of them, as a caller with an expired cache
// does. It skips daemons that do not respond.
func (l *load) pickEntryDaemon(rng *rand.Rand) *daemon {
	daemons := l.s.availableDaemons()
	for range 20 {
		asked := daemons[rng.IntN(len(daemons))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		urls := entryURLs(ctx, asked)
		cancel()
		if len(urls) == 0 {
			continue
		}
		url := urls[rng.IntN(len(urls))]
		for _, d := range daemons {
			if url == "http://"+d.callers {
				return d
			}
		}
	}
	return daemons[0]
}

func entryURLs(ctx context.Context, d *daemon) []string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callers+"/v1/entry", nil)
	if err != nil {
		return nil
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var entry struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&entry) != nil {
		return nil
	}
	var urls []string
	for _, a := range entry.Addresses {
		urls = append(urls, a.URL)
	}
	return urls
}

func (l *load) chat(rng *rand.Rand) {
	n := l.requestCount.Add(1)
	c := chat{id: fmt.Sprintf("chat-%d", n), prompt: fmt.Sprintf("question %d about species %d", n, rng.IntN(5)), maxTokens: 5 + rng.IntN(60), workspace: "show"}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	defer cancel()
	d := l.pickEntryDaemon(rng)
	l.recordOutcome("chat", d, l.s.sendLogged(ctx, d, c))
}

// loadRequestTimeout exceeds the MaxWait of class quick, which is the class of the load's requests.
const loadRequestTimeout = 40 * time.Second

// resendDelay is the time before a caller resends a booking.
const resendDelay = 200 * time.Millisecond

// maxBookingAttempts is the maximum number of times that a caller sends a booking.
const maxBookingAttempts = 4

// book sends a booking with the same idempotency key, each time through a random entry daemon, until it completes,
// maxBookingAttempts is reached or the load is stopped.
func (l *load) book(rng *rand.Rand) {
	key := fmt.Sprintf("key-%d", l.requestCount.Add(1))
	for try := range maxBookingAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
		id := fmt.Sprintf("%s/%d", key, try)
		l.s.log.add(checker.Event{Kind: checker.CallerSent, Request: id})
		d := l.pickEntryDaemon(rng)
		a := l.s.bookWithID(ctx, d, id, key, `{"tree":"`+key+`"}`)
		cancel()
		l.s.log.add(checker.Event{Kind: checker.CallerDone, Request: id, Key: key, Outcome: a.outcome})
		l.recordOutcome("booking", d, a)
		if a.outcome == checker.Completed || l.ctx.Err() != nil {
			return
		}
		<-time.After(resendDelay)
	}
}

// collectRuns adds the runs counted by the stand-ins to the log: by key, to detect a second run, and by request ID,
// to detect a request that ran although its caller was told that it did not.
func (l *load) collectRuns() {
	l.s.t.Helper()
	for _, p := range l.s.plains {
		runs := p.plainRuns(l.s.t)
		for key, n := range runs.ByKey {
			for range n {
				l.s.log.add(checker.Event{Kind: checker.EndpointRan, Key: key, Endpoint: p.id})
			}
		}
		for id := range runs.ByID {
			l.s.log.add(checker.Event{Kind: checker.EndpointRan, Request: id, Endpoint: p.id})
		}
	}
	for _, e := range l.s.engines {
		for id, r := range e.engineRuns(l.s.t).ByID {
			if r.Started > 0 {
				l.s.log.add(checker.Event{Kind: checker.EndpointRan, Request: id, Endpoint: e.id})
			}
		}
	}
}
