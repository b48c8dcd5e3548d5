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

// runs counts the runs with a key at all services.
func (p *harness) runs(key string) int {
	n := 0
	for _, s := range p.services {
		n += s.RunsByKey(key)
	}
	return n
}

// Guards against a second run of a non-idempotent request, a false "not run", and a "not run" that is
// told as unknown, for each way in which an endpoint or the ledger can fail.
func TestAtMostOnce(t *testing.T) {
	down := errors.New("ledger down")
	cases := []struct {
		desc string
		// first and second are the faults of the two services.
		first, second plainstandin.Faults
		crash         bool
		ledgerDown    peer.LedgerRequest_Action
		outcome       string
		status        int
		runs          int
		// again is the outcome of the same request sent once more, without faults.
		again string
		total int
	}{
		{desc: "answer", outcome: "completed", status: 200, runs: 1, again: "completed", total: 1},
		{desc: "error of the service", first: plainstandin.Faults{Status: 500}, outcome: "failed", status: 500, runs: 1, again: "failed", total: 1},
		{desc: "refused by one", first: plainstandin.Faults{Refuse: true}, outcome: "completed", status: 200, runs: 1, again: "completed", total: 1},
		{desc: "refused by all", first: plainstandin.Faults{Refuse: true}, second: plainstandin.Faults{Refuse: true}, outcome: "not_run", status: 503, again: "completed", total: 1},
		{desc: "all down", crash: true, outcome: "not_run", status: 503, again: "completed", total: 1},
		{desc: "crash after the run", first: plainstandin.Faults{CutAfterRun: true}, outcome: "unknown", status: 409, runs: 1, again: "unknown", total: 1},
		{desc: "crash before the run", first: plainstandin.Faults{CutBeforeRun: true}, outcome: "unknown", status: 409, again: "unknown"},
		{desc: "truncated answer", first: plainstandin.Faults{Truncate: true}, outcome: "unknown", status: 409, runs: 1, again: "unknown", total: 1},
		{desc: "ledger cannot be read", ledgerDown: peer.LedgerRequest_ACTION_LOOKUP, outcome: "unknown", status: 503, again: "completed", total: 1},
		{desc: "intent cannot be recorded", ledgerDown: peer.LedgerRequest_ACTION_BEGIN, outcome: "not_run", status: 503, again: "completed", total: 1},
		{desc: "answer cannot be recorded", ledgerDown: peer.LedgerRequest_ACTION_FINISH, outcome: "completed", status: 200, runs: 1, again: "unknown", total: 1},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			p := newHarness(t, harnessOptions{class: config.Class{Name: "quick", Tier: 1, Total: config.Duration(time.Second), Late: config.LateServe}})
			p.services[0].SetFaults(c.first)
			p.services[1].SetFaults(c.second)
			if c.crash {
				p.services[0].Crash(0)
				p.services[1].Crash(0)
			}
			if c.ledgerDown != 0 {
				p.ledger.fail(c.ledgerDown, down)
			}
			r, body := p.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != c.outcome || r.StatusCode != c.status || p.runs("key-1") != c.runs {
				t.Errorf("outcome %q, status %d, %d runs, body %s", outcome(r), r.StatusCode, p.runs("key-1"), body)
			}
			p.awaitIdle(t)
			for _, s := range p.services {
				s.SetFaults(plainstandin.Faults{})
				if err := s.Revive(); err != nil {
					t.Fatal(err)
				}
			}
			if c.ledgerDown != 0 && c.ledgerDown != peer.LedgerRequest_ACTION_FINISH {
				p.ledger.fail(c.ledgerDown, nil)
			}
			r, again := p.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != c.again || p.runs("key-1") != c.total {
				t.Errorf("again: outcome %q, status %d, %d runs, body %s", outcome(r), r.StatusCode, p.runs("key-1"), again)
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
	l.down[action] = err
}

// awaitIdle waits until the dispatcher has nothing in progress, also in the background.
func (p *harness) awaitIdle(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for p.dispatch.Running() > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the dispatcher does not become idle")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against concurrent copies of one request that run more than once, or of which one gets no
// answer although the first completes.
func TestConcurrentDuplicates(t *testing.T) {
	p := newHarness(t, harnessOptions{})
	p.services[0].SetFaults(plainstandin.Faults{DelayMS: 30})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			r, body := p.post(t, bookingPath, "key-1", "two beds")
			if outcome(r) != "completed" || !strings.Contains(body, `"run":1`) {
				t.Errorf("outcome %q, body %s", outcome(r), body)
			}
		})
	}
	group.Wait()
	if p.runs("key-1") != 1 {
		t.Errorf("%d runs", p.runs("key-1"))
	}
}

// Guards against a key that is used for two different requests, and a non-idempotent call without one.
func TestKeyMisuse(t *testing.T) {
	p := newHarness(t, harnessOptions{})
	p.post(t, bookingPath, "key-1", "two beds")
	if r, body := p.post(t, bookingPath, "key-1", "three beds"); r.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(body, dispatch.CodeIdempotencyKeyReused) {
		t.Errorf("other body: status %d, %s", r.StatusCode, body)
	}
	if r, _ := p.post(t, bookingPath, "", "two beds"); r.StatusCode != http.StatusBadRequest || outcome(r) != "not_run" {
		t.Errorf("no key: status %d, outcome %q", r.StatusCode, outcome(r))
	}
	if p.runs("key-1") != 1 {
		t.Errorf("%d runs", p.runs("key-1"))
	}
}

// Guards against a lost outcome when the caller leaves while its non-idempotent request runs: the
// request goes on and its record gets the answer.
func TestCallerLeavesBooking(t *testing.T) {
	p := newHarness(t, harnessOptions{})
	p.services[0].SetFaults(plainstandin.Faults{DelayMS: 300})
	ctx, cancel := context.WithCancel(context.Background())
	p.ledger.afterBegin = func() { time.AfterFunc(20*time.Millisecond, cancel) }
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+bookingPath, strings.NewReader("two beds"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "key-1")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the caller did not leave")
	}
	p.awaitIdle(t)
	r, body := p.post(t, bookingPath, "key-1", "two beds")
	if outcome(r) != "completed" || p.runs("key-1") != 1 || r.Header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("outcome %q, %d runs, body %s", outcome(r), p.runs("key-1"), body)
	}
}

// Guards against records that operators cannot settle because their key differs from the ledger's.
func TestLedgerKey(t *testing.T) {
	p := newHarness(t, harnessOptions{})
	p.post(t, bookingPath, "key-1", "{}")
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.ledger.records[string(ledger.Key("registry", "/services/bookings/", "key-1"))] == nil {
		t.Errorf("no record under the ledger's key in %d records", len(p.ledger.records))
	}
}
