package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/peer"
)

// stubEndpoint is an endpoint.Kind that sends tokens without text or rejects streaming requests. It records
// whether each attempt asked for a stream to assemble.
type stubEndpoint struct {
	textless, reject bool
	attempts         []bool
}

func (k *stubEndpoint) Do(_ context.Context, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	k.attempts = append(k.attempts, a.Assemble)
	switch {
	case a.Assemble && k.reject:
		_ = s.Head(http.StatusBadRequest, http.Header{"Content-Type": {"application/json"}})
		_ = s.Body([]byte("rejected"))
		return endpoint.Result{Sent: true, Complete: true, Status: http.StatusBadRequest}
	case a.Assemble && k.textless:
		_ = s.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		err := s.Event(endpoint.Event{Kind: endpoint.EventToken, Index: 1, Data: []byte(`{"choices":[]}`)})
		return endpoint.Result{Sent: true, Canceled: true, Status: http.StatusOK, Err: err}
	}
	_ = s.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = s.Body([]byte("whole"))
	return endpoint.Result{Sent: true, Complete: true, Status: http.StatusOK}
}

// stubScheduler is a scheduler and slot that grants the endpoint "e" immediately.
type stubScheduler struct{}

func (stubScheduler) Acquire(context.Context, string, *peer.Acquire) (Slot, error) {
	return stubScheduler{}, nil
}
func (stubScheduler) Endpoint() string                                       { return "e" }
func (stubScheduler) StartBy() time.Time                                     { return time.Now().Add(time.Second) }
func (stubScheduler) Preempted() <-chan struct{}                             { return nil }
func (stubScheduler) Progress(int, time.Duration)                            {}
func (stubScheduler) Finish(peer.Outcome, int, time.Duration, time.Duration) {}

// bufferedResponse is a ResponseWriter that stores the status and body.
type bufferedResponse struct {
	bytes.Buffer
	status int
}

func (b *bufferedResponse) Start(status int, _ http.Header, _ Outcome) error {
	b.status = status
	return nil
}
func (b *bufferedResponse) Flush() error { return nil }

// TestUnassembled guards against non-streaming requests that fail, or lose tokens without text, because the
// engine is asked to stream: the request must be sent again as the caller wrote it.
func TestUnassembled(t *testing.T) {
	snapshot, err := config.NewSnapshot(1, &config.Config{
		Preset: "day", Presets: []config.Preset{{Name: "day"}},
		Pools:     []config.Pool{{Name: "judging", Kind: config.KindEngine, Model: "m"}},
		Endpoints: []config.Endpoint{{ID: "e", Pool: "judging"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		desc string
		kind *stubEndpoint
		// secondAttempts is the expected number of attempts of the next request for the same model.
		secondAttempts int
	}{
		{"tokens without text", &stubEndpoint{textless: true}, 1},
		{"streams rejected", &stubEndpoint{reject: true}, 2},
	}
	for _, c := range cases {
		d := New(Options{
			Scheduler: stubScheduler{}, Snapshot: func() *config.Snapshot { return snapshot },
			EndpointKinds: map[config.PoolKind]endpoint.Kind{config.KindEngine: c.kind},
		})
		for i, attempts := range []int{2, c.secondAttempts} {
			c.kind.attempts = nil
			out := &bufferedResponse{}
			r := &Request{Pool: snapshot.Pools["judging"], Assemblable: true, Resumable: true, Arrival: time.Now()}
			res := d.Do(context.Background(), r, out)
			if res.Outcome != Completed || out.status != http.StatusOK || out.String() != "whole" || len(c.kind.attempts) != attempts {
				t.Errorf("%s, request %d: %+v, status %d, body %q, attempts %v", c.desc, i, res, out.status, out.String(), c.kind.attempts)
			}
		}
	}
}
