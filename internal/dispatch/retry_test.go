package dispatch_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/chivewind/chivewind/internal/retry"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
)

// TestRetryInAnotherZone guards against a first retry in the availability zone of the failed endpoint, since
// the whole zone may have failed.
func TestRetryInAnotherZone(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.engines[0].SetFaults(enginestandin.Faults{Status: http.StatusInternalServerError})
	if r, body := h.post(t, "/v1/chat/completions", "", chat("zone length=3", true, "")); outcome(r) != "completed" {
		t.Fatalf("outcome %q, body %s", outcome(r), body)
	}
	// The first two engines are in the same zone.
	if last := h.scheduler.acquires[len(h.scheduler.acquires)-1]; last.AvoidZone != "asahikawa" || len(last.Avoid) != 1 {
		t.Errorf("last Acquire avoids zone %q and endpoints %v", last.AvoidZone, last.Avoid)
	}
}

// TestRetryBudget guards against retries beyond the budget when all engines fail.
func TestRetryBudget(t *testing.T) {
	const reserve, requests = 2, 6
	h := newHarness(t, harnessOptions{retry: retry.Options{Reserve: reserve}})
	for _, e := range h.engines {
		e.SetFaults(enginestandin.Faults{Status: http.StatusInternalServerError})
	}
	for i := range requests {
		h.post(t, "/v1/chat/completions", "", chat("storm "+strconv.Itoa(i), true, ""))
	}
	if n := len(h.scheduler.outcomes()); n != requests+reserve {
		t.Errorf("%d attempts of %d requests, want %d retries", n, requests, reserve)
	}
}
