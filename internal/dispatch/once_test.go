package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/ledger"
	plainstandin "github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/peer"
)

const bookingPath = "/services/bookings/new"

// runs returns the number of runs with the idempotency key on all services.
func (h *harness) runs(key string) int {
	n := 0
	for _, s := range h.services {
		n += s.RunsByKey(key)
	}
	return n
}

// TestAtMostOnce guards against a second run of a non-idempotent request, a false "not_run", and an "unknown"
// for a request that certainly did not run, for each way in which an endpoint or the ledger can fail.
func TestAtMostOnce(t *testing.T) {
	down := errors.New("ledger down")
	cases := []struct {
		desc string
		// first and second are the faults of the first and second service.
		first, second plainstandin.Faults
		// crash stops both services.
		crash bool
		// ledgerDown is the ledger action that fails.
		ledgerDown peer.LedgerRequest_Action
		outcome    string
		status     int
		// runs is the expected number of runs after the first request.
		runs int
		// again is the expected outcome when the same request is sent again after the faults are removed.
		again string
		// totalRuns is the expected number of runs after the second request.
		totalRuns int
	}{
		{desc: "answer", outcome: "completed", status: 200, runs: 1, again: "completed", totalRuns: 1},
		{desc: "error of the service", first: plainstandin.Faults{Status: 500}, outcome: "failed", status: 500, runs: 1, again: "failed", totalRuns: 1},
		{desc: "refused by one", first: plainstandin.Faults{Refuse: true}, outcome: "completed", status: 200, runs: 1, again: "completed", totalRuns: 1},
		{desc: "refused by all", first: plainstandin.Faults{Refuse: true}, second: plainstandin.Faults{Refuse: true}, outcome: "not_run", status: 503, again: "completed", totalRuns: 1},
		{desc: "all down", crash: true, outcome: "not_run", status: 503, again: "completed", totalRuns: 1},
		{desc: "crash after the run", first: plainstandin.Faults{CutAfterRun: true}, outcome: "unknown", status: 409, runs: 1, again: "unknown", totalRuns: 1},
		{desc: "crash before the run", first: plainstandin.Faults{CutBeforeRun: true}, outcome: "unknown", status: 409, again: "unknown"},
		{desc: "truncated answer", first: plainstandin.Faults{Truncate: true}, outcome: "unknown", status: 409, runs: 1, again: "unknown", totalRuns: 1},
		{desc: "ledger cannot be read", ledgerDown: peer.LedgerRequest_ACTION_LOOKUP, outcome: "unknown", status: 503, again: "completed", totalRuns: 1},
		{desc: "intent cannot be recorded", ledgerDown: peer.LedgerRequest_ACTION_BEGIN, outcome: "not_run", status: 503, again: "completed", totalRuns: 1},
		{desc: "answer cannot be recorded", ledgerDown: peer.LedgerRequest_ACTION_FINISH, outcome: "completed", status: 200, runs: 1, again: "unknown", totalRuns: 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, harnessOptions{class: config.Class{Name: "quick", Tier: 1, Total: config.Duration(time.Second), Late: config.LateServe}})
			h.services[0].SetFaults(c.first)
			h.services[1].SetFaults(c.second)
			if c.crash {
				h.services[0].Crash(0)
				h.services[1].Crash(0)
			}
			if c.ledgerDown != 0 {
				h.ledger.fail(c.ledgerDown, down)
			}
			r, body := h.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != c.outcome || r.StatusCode != c.status || h.runs("key-1") != c.runs {
				t.Errorf("outcome %q, status %d, %d runs, body %s", outcome(r), r.StatusCode, h.runs("key-1"), body)
			}
			h.awaitIdle(t)
			for _, s := range h.services {
				s.SetFaults(plainstandin.Faults{})
				if err := s.Restart(); err != nil {
					t.Fatal(err)
				}
			}
			if c.ledgerDown != 0 && c.ledgerDown != peer.LedgerRequest_ACTION_FINISH {
				h.ledger.fail(c.ledgerDown, nil)
			}
			r, again := h.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != c.again || h.runs("key-1") != c.totalRuns {
				t.Errorf("again: outcome %q, status %d, %d runs, body %s", outcome(r), r.StatusCode, h.runs("key-1"), again)
			}
			if c.outcome == "completed" && c.again == "completed" && again != body {
				t.Errorf("again: body %s, want %s", again, body)
			}
		})
	}
}

func (l *fakeLedger) fail(action peer.LedgerRequest_Action, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actionErrors[action] = err
}

// awaitIdle waits until the dispatcher has no requests or background updates in progress.
func (h *harness) awaitIdle(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for h.dispatch.Running() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the dispatcher does not become idle")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConcurrentDuplicates guards against concurrent duplicates that run more than once, or of which one gets
// no response although the first completes.
func TestConcurrentDuplicates(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.services[0].SetFaults(plainstandin.Faults{DelayMS: 30})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			r, body := h.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != "completed" || !strings.Contains(body, `"run":1`) {
				t.Errorf("outcome %q, body %s", outcome(r), body)
			}
		})
	}
	group.Wait()
	if h.runs("key-1") != 1 {
		t.Errorf("%d runs", h.runs("key-1"))
	}
}

// TestKeyMisuse guards against a key that is accepted for two different requests, and against a non-idempotent
// call that is accepted without a key.
func TestKeyMisuse(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.post(t, bookingPath, "key-1", "two beds")
	if r, body := h.post(t, bookingPath, "key-1", "three beds"); r.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(body, dispatch.CodeIdempotencyKeyReused) {
		t.Errorf("other body: status %d, %s", r.StatusCode, body)
	}
	if r, _ := h.post(t, bookingPath, "", "two beds"); r.StatusCode != http.StatusBadRequest || outcome(r) != "not_run" {
		t.Errorf("no key: status %d, outcome %q", r.StatusCode, outcome(r))
	}
	if h.runs("key-1") != 1 {
		t.Errorf("%d runs", h.runs("key-1"))
	}
}

// TestCallerLeavesBooking guards against a lost outcome when the caller disconnects while its non-idempotent
// request runs: the request must continue and its response must be recorded.
func TestCallerLeavesBooking(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.services[0].SetFaults(plainstandin.Faults{DelayMS: 300})
	ctx, cancel := context.WithCancel(context.Background())
	h.ledger.afterBegin = func() { time.AfterFunc(20*time.Millisecond, cancel) }
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+bookingPath, strings.NewReader("two beds"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "key-1")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the canceled request got a response")
	}
	h.awaitIdle(t)
	r, body := h.post(t, bookingPath, "key-1", "two beds")
	if outcome(r) != "completed" || h.runs("key-1") != 1 || r.Header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("outcome %q, %d runs, body %s", outcome(r), h.runs("key-1"), body)
	}
}

// TestLedgerKey guards against ledger keys that differ from those of package ledger, so that operators could
// not settle the records.
func TestLedgerKey(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.post(t, bookingPath, "key-1", "{}")
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	if h.ledger.records[string(ledger.Key("registry", "/services/bookings/", "key-1"))] == nil {
		t.Errorf("no record under the ledger's key in %d records", len(h.ledger.records))
	}
}
