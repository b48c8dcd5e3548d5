package dispatch

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// TestFailedResumptionEnds guards against a request that hangs forever when an endpoint answers the attempt to go on
// with a response that cannot be continued: the decision used to lock the relay twice.
func TestFailedResumptionEnds(t *testing.T) {
	req := &Request{Pool: config.Pool{Kind: config.KindEngine}}
	relay := newRelay(req, nil)
	relay.headerSent, relay.tokens, relay.preambleSent = true, 3, true
	r := &run{req: req, relay: relay}
	results := make(chan *finalResult, 1)
	go func() {
		results <- r.resumeOrFinish(endpoint.Result{Sent: true, Complete: true, Status: http.StatusBadRequest})
	}()
	select {
	case final := <-results:
		if final == nil || final.complete || final.err == nil || final.err.Status != http.StatusBadGateway {
			t.Errorf("got %+v, want a failure with status 502", final)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no result within 5 s")
	}
}

// TestTroubleErrorBodyBeforeStream guards against a stream that begins with the error of an endpoint which another one
// has replaced, and against one that follows an error too long to be buffered.
func TestTroubleErrorBodyBeforeStream(t *testing.T) {
	for _, c := range []struct {
		desc        string
		body        string
		replaceable bool
	}{
		{"short error", "data: overloaded\n\n", true},
		{"error beyond the buffer", strings.Repeat("x", maxBufferedBody+1), false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			out := &recordedResponse{}
			req := &Request{Pool: config.Pool{Kind: config.KindEngine}}
			req.Stream = true
			relay := newRelay(req, out)
			first := relay.beginAttempt(1, stubSlot{})
			if err := first.Head(http.StatusInternalServerError, http.Header{"Content-Type": {"text/event-stream"}}); err != nil {
				t.Fatal(err)
			}
			if err := first.Body([]byte(c.body)); err != nil {
				t.Fatal(err)
			}
			r := &run{req: req, relay: relay, dispatcher: &Dispatcher{}}
			if got := r.continuation() == canContinue; got != c.replaceable {
				t.Errorf("another attempt may follow: %v, want %v", got, c.replaceable)
			}
			if sent := out.body.Len() > 0; sent == c.replaceable {
				t.Errorf("error sent to the caller: %v, want %v", sent, !c.replaceable)
			}
		})
	}
}
