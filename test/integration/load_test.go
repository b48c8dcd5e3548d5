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

// load is a group of callers that send chats and bookings until it is stopped.
type load struct {
	s      *system
	stop   context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
	number atomic.Int64

	mu sync.Mutex
	// outcomes counts ends by kind of request and outcome.
	outcomes map[string]int
}

// callerPause is the time between two requests of one caller.
const callerPause = 15 * time.Millisecond

// startLoad starts callers of both kinds. Each asks for entry addresses as real callers do.
func (s *system) startLoad(chatters, bookers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{s: s, ctx: ctx, stop: cancel, outcomes: map[string]int{}}
	s.t.Cleanup(func() { cancel(); l.wg.Wait() })
	for i := range chatters {
		l.caller(i, l.chat)
	}
	for i := range bookers {
		l.caller(1000+i, l.book)
	}
	return l
}

func (l *load) caller(n int, request func(*rand.Rand)) {
	rng := rand.New(rand.NewPCG(l.s.seed, uint64(n)))
	l.wg.Go(func() {
		for l.ctx.Err() == nil {
			request(rng)
			select {
			case <-time.After(callerPause):
			case <-l.ctx.Done():
			}
		}
	})
}

// finish stops the callers after their present request and returns the outcomes.
func (l *load) finish() map[string]int {
	l.stop()
	l.wg.Wait()
	return l.outcomes
}

// maxExamples bounds the answers that are logged for each kind of request and outcome.
const maxExamples = 3

func (l *load) count(kind string, d *daemon, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := kind + " " + string(a.outcome)
	l.outcomes[name]++
	if a.outcome != checker.Completed && l.outcomes[name] <= maxExamples {
		l.s.t.Logf("%v %s through %s: status %d, cut %v, error %v, text %.300q", time.Since(l.s.log.start), name, d.id, a.status, a.cut, a.err, a.text)
	}
}

// entry picks one of the addresses that a random daemon names, as a caller does that keeps an
// answer for its validity. A daemon that does not answer is passed over.
func (l *load) entry(rng *rand.Rand) *daemon {
	daemons := l.s.callable()
	for range 20 {
		asked := daemons[rng.IntN(len(daemons))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		urls := entryOf(ctx, asked)
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

func entryOf(ctx context.Context, d *daemon) []string {
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
	n := l.number.Add(1)
	c := chat{id: fmt.Sprintf("chat-%d", n), prompt: fmt.Sprintf("question %d about species %d", n, rng.IntN(5)), maxTokens: 5 + rng.IntN(60), workspace: "show"}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestBound)
	defer cancel()
	d := l.entry(rng)
	l.count("chat", d, l.s.send(ctx, d, c))
}

// loadRequestBound is above the longest time that the classes of the tests allow a request.
const loadRequestBound = 40 * time.Second

// resendPause is the time before a caller sends a booking again.
const resendPause = 200 * time.Millisecond

// bookingTries is how often a caller sends a booking again through another daemon.
const bookingTries = 4

// book sends a booking until it is completed or refused for good, always with the same key.
func (l *load) book(rng *rand.Rand) {
	key := fmt.Sprintf("key-%d", l.number.Add(1))
	for try := range bookingTries {
		ctx, cancel := context.WithTimeout(context.Background(), loadRequestBound)
		id := fmt.Sprintf("%s/%d", key, try)
		l.s.log.add(checker.Event{Kind: checker.CallerSent, Request: id})
		d := l.entry(rng)
		a := l.s.bookAs(ctx, d, id, key, `{"tree":"`+key+`"}`)
		cancel()
		l.s.log.add(checker.Event{Kind: checker.CallerDone, Request: id, Key: key, Outcome: a.outcome})
		l.count("booking", d, a)
		if a.outcome == checker.Completed || l.ctx.Err() != nil {
			return
		}
		<-time.After(resendPause)
	}
}

// collectRuns adds the runs that the stand-ins counted to the log: by key, to find a second run, and
// by request id, to find a run of a request whose caller was told that it did not run.
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
