package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// loadOptions describe the load. The field names appear in the output.
type loadOptions struct {
	// chats and bookings are rates in requests/s; tokens is the length of the answer to a chat.
	chats    float64
	tokens   int
	streams  int
	bookings float64
}

// load generates requests to all daemons, round robin.
type load struct {
	fleet   *fleet
	options loadOptions
	client  *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// counts has the number of requests by kind and outcome.
	counts map[string]int
	// durations has the total duration of the requests, by the keys of counts.
	durations map[string]time.Duration
}

func newLoad(f *fleet, o loadOptions) *load {
	return &load{fleet: f, options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, cancel: func() {}, counts: map[string]int{}, durations: map[string]time.Duration{}}
}

// streamTokens keeps a stream open for 68 s at 34 ms a token.
const streamTokens = 2000

// start starts the load. Requests at a rate have exponentially distributed intervals.
func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range l.options.streams {
		l.wg.Go(func() { l.keepStreamOpen(ctx, i) })
	}
	l.sendAtRate(ctx, l.options.chats, func(n int) { l.sendChat(ctx, "chat", n, l.options.tokens) })
	l.sendAtRate(ctx, l.options.bookings, func(n int) { l.sendBooking(ctx, n) })
}

// kindStream is the kind of the requests that keep a stream open.
const kindStream = "stream"

// streamRetryInterval is the time between two attempts to open a stream. The first attempts can fail,
// because a daemon raises the limit of an endpoint's slots in steps.
const streamRetryInterval = 200 * time.Millisecond

// keepStreamOpen opens a stream again whenever it ends.
func (l *load) keepStreamOpen(ctx context.Context, n int) {
	for ctx.Err() == nil {
		l.sendChat(ctx, kindStream, n, streamTokens)
		_ = sleep(ctx, streamRetryInterval)
	}
}

// stop cancels all requests and waits until they have ended.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// sendAtRate calls request with consecutive numbers, perSecond times a second on average.
func (l *load) sendAtRate(ctx context.Context, perSecond float64, request func(n int)) {
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	l.wg.Go(func() {
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			if sleep(ctx, time.Until(next)) != nil {
				return
			}
			l.wg.Go(func() { request(n) })
		}
	})
}

// totals returns the number and the total duration of the requests so far, by kind and outcome.
func (l *load) totals() (map[string]int, map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts), maps.Clone(l.durations)
}

func (l *load) sendChat(ctx context.Context, kind string, n, tokens int) {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("question %d about species %d, length=%d", n, n%7, tokens)}},
	})
	header := http.Header{"Content-Type": {"application/json"}}
	if kind == kindStream {
		header.Set("X-Chivewind-Class", "long")
	}
	l.send(ctx, kind, n, "/v1/chat/completions", string(body), header)
}

func (l *load) sendBooking(ctx context.Context, n int) {
	l.send(ctx, "booking", n, bookingPath+"new", `{"tree":"juniper"}`, http.Header{"Idempotency-Key": {fmt.Sprint("key-", n)}})
}

// send sends a request and counts it by kind and outcome; requests cut off by the context are not counted.
func (l *load) send(ctx context.Context, kind string, n int, path, body string, header http.Header) {
	d := l.fleet.daemons[n%len(l.fleet.daemons)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callersAddr+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header = header
	req.Header.Set("X-Chivewind-Workspace", fmt.Sprintf("workspace-%04d", n%l.fleet.options.workspaces))
	outcome, began := "error", time.Now()
	resp, err := l.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		outcome = resp.Header.Get("X-Chivewind-Outcome")
		if trailer := resp.Trailer.Get("X-Chivewind-Outcome"); trailer != "" {
			outcome = trailer
		}
	}
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind+" "+outcome]++
	l.durations[kind+" "+outcome] += time.Since(began)
}
