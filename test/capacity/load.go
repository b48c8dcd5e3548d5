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

// loadOptions describe the callers.
type loadOptions struct {
	chats    float64
	tokens   int
	streams  int
	bookings float64
}

// load sends requests to all daemons in turn.
type load struct {
	f      *fleet
	o      loadOptions
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	counts map[string]int
	// waited is the sum of the requests' times by the keys of counts.
	waited map[string]time.Duration
}

func newLoad(f *fleet, o loadOptions) *load {
	return &load{f: f, o: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, cancel: func() {}, counts: map[string]int{}, waited: map[string]time.Duration{}}
}

// streamTokens keeps a stream open for 68 s at 34 ms a token.
const streamTokens = 2000

// start begins the load; requests of a rate are sent at random times.
func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range l.o.streams {
		l.wg.Go(func() { l.stream(ctx, i) })
	}
	l.rate(ctx, l.o.chats, func(n int) { l.chat(ctx, "chat", n, l.o.tokens) })
	l.rate(ctx, l.o.bookings, func(n int) { l.book(ctx, n) })
}

// kindStream names streams that stay open.
const kindStream = "stream"

// streamPause is the time between two tries of a stream, since the endpoints' slots grow slowly.
const streamPause = 200 * time.Millisecond

// stream keeps one stream open.
func (l *load) stream(ctx context.Context, n int) {
	for ctx.Err() == nil {
		l.chat(ctx, kindStream, n, streamTokens)
		_ = pause(ctx, streamPause)
	}
}

// stop ends all requests and waits for them.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) rate(ctx context.Context, perSecond float64, request func(n int)) {
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	l.wg.Go(func() {
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			if pause(ctx, time.Until(next)) != nil {
				return
			}
			l.wg.Go(func() { request(n) })
		}
	})
}

// completed returns the numbers of requests and the sums of their times.
func (l *load) completed() (map[string]int, map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts), maps.Clone(l.waited)
}

func (l *load) chat(ctx context.Context, kind string, n, tokens int) {
	body, _ := json.Marshal(map[string]any{
		"model": modelOfTest, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("question %d about species %d, length=%d", n, n%7, tokens)}},
	})
	header := http.Header{"Content-Type": {"application/json"}}
	if kind == kindStream {
		header.Set("X-Chivewind-Class", "long")
	}
	l.send(ctx, kind, n, "/v1/chat/completions", string(body), header)
}

func (l *load) book(ctx context.Context, n int) {
	l.send(ctx, "booking", n, bookingPath+"new", `{"tree":"juniper"}`, http.Header{"Idempotency-Key": {fmt.Sprint("key-", n)}})
}

// send counts a request by kind and outcome.
func (l *load) send(ctx context.Context, kind string, n int, path, body string, header http.Header) {
	d := l.f.daemons[n%len(l.f.daemons)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header = header
	req.Header.Set("X-Chivewind-Workspace", fmt.Sprintf("workspace-%04d", n%l.f.o.workspaces))
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
	l.waited[kind+" "+outcome] += time.Since(began)
}
