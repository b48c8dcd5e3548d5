package dispatch

import (
	"net/http"
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
