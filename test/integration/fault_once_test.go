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

// settleAge is the age from which an operator may settle a booking with unknown outcome.
const settleAge = time.Minute

// TestFaultEntryDaemonKilledAfterRun guards against a second run of a booking whose entry daemon
// failed between the run and its record, against an answer other than unknown, and against a record
// that no operator can settle.
func TestFaultEntryDaemonKilledAfterRun(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1, plains: 2})
	for _, p := range s.plains {
		s.setFaults(p, map[string]any{"delay_ms": 2000})
	}
	const key = "pen-7"
	begun := time.Now()
	go s.book(withTimeout(t, requestBound), s.daemons[0], key, "{}")
	eventually(t, requestBound, "the booking runs", func() error {
		if s.plainRuns(key) == 0 {
			return errors.New("no run")
		}
		return nil
	})
	s.daemons[0].kill()
	for _, d := range s.daemons[1:] {
		a := s.book(withTimeout(t, loadRequestBound), d, key, "{}")
		if a.outcome != checker.Unknown {
			t.Errorf("resent through %s: outcome %q, status %d, %s; want unknown", d.id, a.outcome, a.status, a.text)
		}
	}
	settle := func() error {
		return s.cli(s.daemons[1], nil, "settle", "show", "/bookings/", key, "--outcome", "ran")
	}
	if time.Since(begun) < settleAge/2 {
		if err := settle(); err == nil {
			t.Errorf("a booking %v old was settled; its entry daemon could still be about to send", time.Since(begun))
		}
	}
	wait(time.Until(begun.Add(settleAge)))
	eventually(t, requestBound, "settle", settle)
	var trail adminapi.Audit
	if err := s.cli(s.daemons[2], &trail, "audit"); err != nil {
		t.Fatal(err)
	}
	if len(trail.Entries) == 0 || trail.Entries[0].Action != "settle" || trail.Entries[0].Operator != "anonymous" {
		t.Errorf("the newest audit entry is not the settlement: %+v", trail.Entries)
	}
	for _, d := range s.daemons[1:] {
		a := s.book(withTimeout(t, requestBound), d, key, "{}")
		if a.outcome != checker.Completed {
			t.Errorf("after the settlement through %s: outcome %q, status %d, %s; want completed", d.id, a.outcome, a.status, a.text)
		}
	}
	if n := s.plainRuns(key); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// TestFaultLateWriteOfFrozenOwner guards against a write of a ledger owner that takes effect after its
// lease has passed to another daemon: it would replace the record of a booking that has run since.
func TestFaultLateWriteOfFrozenOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1, plains: 1})
	const key = "late-write"
	const held = 22 * time.Second
	role := fmt.Sprintf("lease/ledger-%02d", ledger.PartitionOf(ledger.Key("show", "/bookings/", key)))
	// Partitions change hands while the daemons find each other; only then is the holder the owner.
	s.waitQuietKV()
	owner, others := s.roleHolder(role)
	s.postJSON("http://"+s.kv.addr+"/admin/faults", map[string]any{"writes": map[int]any{1: map[string]any{"before_ns": held}}})
	writes := s.kvWrites()
	begun := time.Now()
	first := make(chan answer, 1)
	go func() { first <- s.book(withTimeout(t, loadRequestBound), others[0], key, "{}") }()
	eventually(t, requestBound, "the owner's write arrives", func() error {
		if s.kvWrites() == writes {
			return errors.New("no write")
		}
		return nil
	})
	owner.freeze()
	eventually(t, held-2*time.Second, "the booking completes at the next owner", func() error {
		return s.book(withTimeout(t, requestBound), others[1], key, "{}").mustComplete()
	})
	if time.Since(begun) >= held {
		t.Fatal("the booking completed after the late write; the test shows nothing")
	}
	wait(time.Until(begun.Add(held + time.Second)))
	<-first
	owner.thaw()
	eventually(t, recovery, "the first owner holds the partition again", func() error {
		if now, _ := s.roleHolder(role); now != owner {
			return fmt.Errorf("held by %s", now.id)
		}
		return nil
	})
	for _, d := range s.daemons {
		eventually(t, requestBound, "the record at "+d.id, func() error {
			return s.book(withTimeout(t, requestBound), d, key, "{}").mustComplete()
		})
	}
	if n := s.plainRuns(key); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
}

// roleHolder returns the daemon that holds a role's lease, and the others.
func (s *system) roleHolder(role string) (holder *daemon, others []*daemon) {
	s.t.Helper()
	eventually(s.t, startTime, role+" is held", func() error {
		holder, others = nil, nil
		kvs := s.readKV(role)
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

// waitQuietKV waits until the daemons have ended the writes of their start.
func (s *system) waitQuietKV() {
	s.t.Helper()
	const quiet = 2 * time.Second
	last, since := s.kvWrites(), time.Now()
	eventually(s.t, startTime, "no more writes", func() error {
		if n := s.kvWrites(); n != last {
			last, since = n, time.Now()
		}
		if time.Since(since) < quiet {
			return fmt.Errorf("%d writes", last)
		}
		return nil
	})
}

// TestFaultEndpointRefuses guards against an endpoint's "not run" that is taken for a run, so that a
// booking is not sent elsewhere, or for nothing, so that its caller is told of a failure.
func TestFaultEndpointRefuses(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 2, plains: 2})
	refuse := func(v *service, on bool) { s.setFaults(v, map[string]any{"refuse": on}) }
	refuse(s.engines[0], true)
	refuse(s.plains[0], true)
	const requests = 12
	for i := range requests {
		d := s.daemons[i%2]
		a := s.send(withTimeout(t, requestBound), d, chat{id: fmt.Sprint("chat", i), prompt: fmt.Sprint("q", i), maxTokens: 5, workspace: "show"})
		if err := a.mustComplete(); err != nil {
			t.Errorf("chat %d with one refusing engine: %v", i, err)
		}
		key := fmt.Sprint("one-", i)
		if err := s.book(withTimeout(t, requestBound), d, key, "{}").mustComplete(); err != nil {
			t.Errorf("booking %d with one refusing service: %v", i, err)
		}
		if n := s.plainRuns(key); n != 1 {
			t.Errorf("booking %d ran %d times, want 1", i, n)
		}
	}
	refuse(s.engines[1], true)
	refuse(s.plains[1], true)
	a := s.stream(withTimeout(t, loadRequestBound), s.daemons[0], chat{id: "refused", prompt: "refused", maxTokens: 5, workspace: "show"})
	if a.outcome != checker.NotRun {
		t.Errorf("chat that all engines refuse: outcome %q, error %v, want not_run", a.outcome, a.err)
	}
	b := s.book(withTimeout(t, loadRequestBound), s.daemons[0], "all", "{}")
	if b.outcome != checker.NotRun {
		t.Errorf("booking that all services refuse: outcome %q, %s, want not_run", b.outcome, b.text)
	}
	refuse(s.plains[0], false)
	refuse(s.plains[1], false)
	eventually(t, recovery, "the refused booking can be repeated", func() error {
		return s.book(withTimeout(t, requestBound), s.daemons[1], "all", "{}").mustComplete()
	})
	if n := s.plainRuns("all"); n != 1 {
		t.Errorf("the repeated booking ran %d times, want 1", n)
	}
	s.log.check()
}

// TestFaultEngineCrashResumes guards against an answer that begins anew at another engine when its
// engine crashes: the tokens that the caller already has must not be generated again.
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
	go func() { done <- s.send(withTimeout(t, loadRequestBound), s.daemons[0], c) }()
	<-reached
	crashed := s.engines[0]
	if s.engineRuns(crashed) == 0 {
		crashed = s.engines[1]
	}
	s.crash(crashed, "1s")
	if err := (<-done).mustComplete(); err != nil {
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

// TestFaultSilentCaller guards against an engine that keeps generating for a caller who holds its
// connection open and reads nothing.
func TestFaultSilentCaller(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 1, tokenTime: "100us", writeStall: 3 * time.Second})
	const tokens = 200000
	ctx, cancel := context.WithCancel(withTimeout(t, 2*loadRequestBound))
	defer cancel()
	conn := s.openStream(ctx, s.daemons[0], chat{id: "silent", prompt: longPrompt("silent", tokens), maxTokens: tokens, workspace: "archive"})
	defer conn.Close()
	eventually(t, loadRequestBound, "the engine stops", func() error {
		r := s.engines[0].engineRuns(t).ByID["silent"]
		if r.Canceled != 1 {
			return fmt.Errorf("%d started, %d completed, %d canceled", r.Started, r.Completed, r.Canceled)
		}
		return nil
	})
	// The engine may also be stopped by its own time limit while the request hangs in the daemon.
	eventually(t, requestBound, "the daemon ends the request", func() error {
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
