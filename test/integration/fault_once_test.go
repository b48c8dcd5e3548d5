package integration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/ledger"
)

// minSettleAge is the minimum age at which an operator may settle a booking whose outcome is unknown.
const minSettleAge = time.Minute

// TestFaultEntryDaemonKilledAfterRun guards against a second run of a booking whose entry daemon failed after the run
// had begun and before its outcome was recorded, against a response other than unknown, and against a record that an
// operator cannot settle.
func TestFaultEntryDaemonKilledAfterRun(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1, plains: 2})
	for _, p := range s.plains {
		s.setFaults(p, map[string]any{"delay_ms": 2000})
	}
	const key = "pen-7"
	begun := time.Now()
	go s.book(withTimeout(t, requestTimeout), s.daemons[0], key, "{}")
	eventually(t, requestTimeout, "the booking runs", func() error {
		if s.totalPlainRuns(key) == 0 {
			return errors.New("no run")
		}
		return nil
	})
	s.daemons[0].kill()
	for _, d := range s.daemons[1:] {
		a := s.book(withTimeout(t, loadRequestTimeout), d, key, "{}")
		if a.outcome != checker.Unknown {
			t.Errorf("resent through %s: outcome %q, status %d, %s; want unknown", d.id, a.outcome, a.status, a.text)
		}
	}
	settle := func() error {
		return s.runCLI(s.daemons[1], nil, "settle", "show", "/bookings/", key, "--outcome", "ran")
	}
	if time.Since(begun) < minSettleAge/2 {
		if err := settle(); err == nil {
			t.Errorf("a booking %v old was settled; its entry daemon could still be about to send", time.Since(begun))
		}
	}
	sleep(time.Until(begun.Add(minSettleAge)))
	eventually(t, requestTimeout, "settle", settle)
	var trail adminapi.Audit
	if err := s.runCLI(s.daemons[2], &trail, "audit"); err != nil {
		t.Fatal(err)
	}
	if len(trail.Entries) == 0 || trail.Entries[0].Action != "settle" || trail.Entries[0].Operator != "anonymous" {
		t.Errorf("the newest audit entry is not the settlement: %+v", trail.Entries)
	}
	for _, d := range s.daemons[1:] {
		a := s.book(withTimeout(t, requestTimeout), d, key, "{}")
		if a.outcome != checker.Completed {
			t.Errorf("after the settlement through %s: outcome %q, status %d, %s; want completed", d.id, a.outcome, a.status, a.text)
		}
	}
	if n := s.totalPlainRuns(key); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// TestFaultLateWriteOfFrozenOwner guards against a write of a ledger owner that takes effect after another daemon has
// acquired its lease: it would overwrite the record of a booking that has run in the meantime.
func TestFaultLateWriteOfFrozenOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1, plains: 1})
	const key = "late-write"
	// The delay leaves time for the lease to expire and for the next owner to complete the booking.
	const writeDelay = 22 * time.Second
	leaseKey := fmt.Sprintf("lease/ledger-%02d", ledger.PartitionOf(ledger.Key("show", "/bookings/", key)))
	// Ledger partitions change owners while the daemons discover each other; until that has ended, the lease holder
	// may not be the owner.
	s.waitForNoWrites()
	owner, others := s.leaseHolder(leaseKey)
	s.postJSON("http://"+s.kv.addr+"/admin/faults", map[string]any{"writes": map[int]any{1: map[string]any{"before_ns": writeDelay}}})
	writes := s.kvTxnCount()
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- s.book(withTimeout(t, loadRequestTimeout), others[0], key, "{}") }()
	eventually(t, requestTimeout, "the owner's write arrives", func() error {
		if s.kvTxnCount() == writes {
			return errors.New("no write")
		}
		return nil
	})
	owner.pause()
	eventually(t, writeDelay-2*time.Second, "the booking completes at the next owner", func() error {
		return s.book(withTimeout(t, requestTimeout), others[1], key, "{}").checkCompleted()
	})
	if time.Since(begun) >= writeDelay {
		t.Fatal("the booking completed after the late write; the test is inconclusive")
	}
	sleep(time.Until(begun.Add(writeDelay + time.Second)))
	<-first
	owner.resume()
	eventually(t, recoveryTimeout, "the first owner holds the partition again", func() error {
		if now, _ := s.leaseHolder(leaseKey); now != owner {
			return fmt.Errorf("held by %s", now.id)
		}
		return nil
	})
	for _, d := range s.daemons {
		eventually(t, requestTimeout, "the record at "+d.id, func() error {
			return s.book(withTimeout(t, requestTimeout), d, key, "{}").checkCompleted()
		})
	}
	if n := s.totalPlainRuns(key); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// leaseHolder returns the daemon whose ID is the value of a lease key, and the other daemons.
func (s *system) leaseHolder(leaseKey string) (holder *daemon, others []*daemon) {
	s.t.Helper()
	eventually(s.t, startTimeout, leaseKey+" is held", func() error {
		holder, others = nil, nil
		kvs := s.readKV(leaseKey)
		for _, d := range s.daemons {
			if len(kvs) == 1 && string(kvs[0].Value) == d.id {
				holder = d
			} else {
				others = append(others, d)
			}
		}
		if holder == nil {
			return fmt.Errorf("%d keys", len(kvs))
		}
		return nil
	})
	return holder, others
}

// waitForNoWrites waits until the daemons have finished their writes, for example those of their startup: it returns
// after 2 s without a write.
func (s *system) waitForNoWrites() {
	s.t.Helper()
	const quiet = 2 * time.Second
	last, since := s.kvTxnCount(), time.Now()
	eventually(s.t, startTimeout, "no more writes", func() error {
		if n := s.kvTxnCount(); n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) < quiet {
			return fmt.Errorf("%d writes", last)
		}
		return nil
	})
}

// TestFaultEndpointRefuses guards against an endpoint's "not run" response that is treated as a run, so that a booking
// is not retried elsewhere, or is ignored, so that the caller gets an unspecific failure.
func TestFaultEndpointRefuses(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 2, plains: 2})
	refuse := func(v *service, on bool) { s.setFaults(v, map[string]any{"refuse": on}) }
	refuse(s.engines[0], true)
	refuse(s.plains[0], true)
	const requests = 12
	for i := range requests {
		d := s.daemons[i%2]
		a := s.sendLogged(withTimeout(t, requestTimeout), d, chat{id: fmt.Sprint("chat", i), prompt: fmt.Sprint("q", i), maxTokens: 5, workspace: "show"})
		if err := a.checkCompleted(); err != nil {
			t.Errorf("chat %d with one refusing engine: %v", i, err)
		}
		key := fmt.Sprint("one-", i)
		if err := s.book(withTimeout(t, requestTimeout), d, key, "{}").checkCompleted(); err != nil {
			t.Errorf("booking %d with one refusing service: %v", i, err)
		}
		if n := s.totalPlainRuns(key); n != 1 {
			t.Errorf("booking %d ran %d times, want 1", i, n)
		}
	}
	refuse(s.engines[1], true)
	refuse(s.plains[1], true)
	a := s.stream(withTimeout(t, loadRequestTimeout), s.daemons[0], chat{id: "refused", prompt: "refused", maxTokens: 5, workspace: "show"})
	if a.outcome != checker.NotRun {
		t.Errorf("chat that all engines refuse: outcome %q, error %v, want not_run", a.outcome, a.err)
	}
	b := s.book(withTimeout(t, loadRequestTimeout), s.daemons[0], "all", "{}")
	if b.outcome != checker.NotRun {
		t.Errorf("booking that all services refuse: outcome %q, %s, want not_run", b.outcome, b.text)
	}
	refuse(s.plains[0], false)
	refuse(s.plains[1], false)
	eventually(t, recoveryTimeout, "the refused booking can be repeated", func() error {
		return s.book(withTimeout(t, requestTimeout), s.daemons[1], "all", "{}").checkCompleted()
	})
	if n := s.totalPlainRuns("all"); n != 1 {
		t.Errorf("the repeated booking ran %d times, want 1", n)
	}
	s.log.check()
}

// TestFaultEngineCrashResumes guards against an answer that is restarted from the beginning at another engine when
// its engine crashes: tokens that the caller has already received must not be generated again.
func TestFaultEngineCrashResumes(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 2, tokenTime: "10ms"})
	const tokens, crashAt = 200, 60
	c := chat{id: "history", prompt: longPrompt("history", tokens), maxTokens: tokens, workspace: "show"}
	reached := make(chan struct{})
	c.onToken = func(n int) {
		if n == crashAt {
			close(reached)
		}
	}
	done := make(chan answer, 1)
	go func() { done <- s.sendLogged(withTimeout(t, loadRequestTimeout), s.daemons[0], c) }()
	<-reached
	crashed := s.engines[0]
	if s.startedAttempts(crashed) == 0 {
		crashed = s.engines[1]
	}
	s.crash(crashed, "1s")
	if err := (<-done).checkCompleted(); err != nil {
		t.Error(err)
	}
	started, resumed := 0, 0
	for _, e := range s.engines {
		r := e.engineRuns(t).ByID[c.id]
		started += r.Started
		resumed += r.Resumed
	}
	if started != 2 || resumed != 1 {
		t.Errorf("%d attempts, %d of them resumed; want 2 and 1", started, resumed)
	}
	s.log.check()
}

// TestFaultSilentCaller guards against an engine that keeps generating for a caller that keeps its connection open
// without reading from it.
func TestFaultSilentCaller(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 1, tokenTime: "100us", writeStall: 3 * time.Second})
	const tokens = 200000
	ctx, cancel := context.WithCancel(withTimeout(t, 2*loadRequestTimeout))
	defer cancel()
	conn := s.openStream(ctx, s.daemons[0], chat{id: "silent", prompt: longPrompt("silent", tokens), maxTokens: tokens, workspace: "archive"})
	defer conn.Close()
	eventually(t, loadRequestTimeout, "the engine stops", func() error {
		r := s.engines[0].engineRuns(t).ByID["silent"]
		if r.Canceled != 1 {
			return fmt.Errorf("%d started, %d completed, %d canceled", r.Started, r.Completed, r.Canceled)
		}
		return nil
	})
	// The engine may also have stopped because of its own timeout while the request still hangs in the daemon.
	eventually(t, requestTimeout, "the daemon ends the request", func() error {
		var status adminapi.Status
		if err := s.daemons[0].adminClient().Get(ctx, "/admin/v1/status", &status); err != nil {
			return err
		}
		for _, d := range status.Daemons {
			if d.Requests > 0 {
				return fmt.Errorf("%d requests in progress on %s", d.Requests, d.ID)
			}
		}
		return nil
	})
}
