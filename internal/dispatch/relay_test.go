package dispatch

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/peer"
)

// recordedResponse is a ResponseWriter that stores the body.
type recordedResponse struct{ body strings.Builder }

func (r *recordedResponse) Start(int, http.Header, Outcome) error { return nil }
func (r *recordedResponse) Write(p []byte) (int, error)           { return r.body.Write(p) }
func (r *recordedResponse) Flush() error                          { return nil }

// stubSlot is a Slot without a scheduler.
type stubSlot struct{}

func (stubSlot) Endpoint() string                                       { return "engine" }
func (stubSlot) StartBy() time.Time                                     { return time.Time{} }
func (stubSlot) Preempted() <-chan struct{}                             { return nil }
func (stubSlot) Progress(int, time.Duration)                            {}
func (stubSlot) Finish(peer.Outcome, int, time.Duration, time.Duration) {}

// TestRelayTokens guards against a token that reaches the caller twice, out of order or from an abandoned
// attempt. Each case has two attempts, the second of which is current.
func TestRelayTokens(t *testing.T) {
	type event struct {
		attempt int
		index   int
		text    string
		want    error
	}
	for _, c := range []struct {
		desc   string
		events []event
		want   string
	}{
		{"late attempt", []event{{2, 1, "a", nil}, {1, 2, "X", errStale}, {2, 2, "b", nil}}, "ab"},
		{"late attempt before the first token", []event{{1, 1, "X", errStale}, {2, 1, "a", nil}}, "a"},
		{"repeated token", []event{{2, 1, "a", nil}, {2, 1, "a", nil}, {2, 2, "b", nil}, {2, 1, "a", nil}}, "ab"},
		{"gap", []event{{2, 1, "a", nil}, {2, 3, "c", errGap}}, "a"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			out := &recordedResponse{}
			r := &Request{Pool: config.Pool{Kind: config.KindEngine}}
			r.Stream = true
			l := newRelay(r, out)
			sinks := []*sink{l.beginAttempt(1, stubSlot{}), l.beginAttempt(2, stubSlot{})}
			for _, e := range c.events {
				err := sinks[e.attempt-1].Event(endpoint.Event{
					Kind: endpoint.EventToken, Index: e.index, Text: []byte(e.text), Data: []byte("<" + e.text + ">"),
				})
				if !errors.Is(err, e.want) {
					t.Errorf("token %d of attempt %d: error %v, want %v", e.index, e.attempt, err, e.want)
				}
			}
			var got strings.Builder
			for line := range strings.Lines(out.body.String()) {
				if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: <"); ok {
					got.WriteString(strings.TrimSuffix(data, ">"))
				}
			}
			if _, text := l.received(); got.String() != c.want || text != c.want {
				t.Errorf("the caller got %q and the relay holds %q, want %q", got.String(), text, c.want)
			}
		})
	}
	l := newRelay(&Request{}, &recordedResponse{})
	s := l.beginAttempt(1, stubSlot{})
	l.endAttempts()
	if err := s.Head(http.StatusOK, nil); !errors.Is(err, errStale) {
		t.Errorf("header after the request's end: %v, want %v", err, errStale)
	}
	if err := s.Body([]byte("late")); !errors.Is(err, errStale) {
		t.Errorf("body after the request's end: %v, want %v", err, errStale)
	}
}
