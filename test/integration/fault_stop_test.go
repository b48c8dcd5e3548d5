package integration

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/platform"
)

// stopTimeout exceeds the time of a graceful shutdown: the suspicion timeout, the validity of entry addresses and the
// longest request of the tests.
const stopTimeout = 40 * time.Second

// TestFaultGracefulStop guards against graceful shutdowns that interrupt requests: one daemon, then two concurrently,
// under load, also if a daemon is told to reload its settings before and during its shutdown. Every request must complete.
func TestFaultGracefulStop(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 4, engines: 2, plains: 1})
	l := s.startLoad(6, 2)
	sleep(warmUpTime)
	listingChecked := make(chan struct{})
	go func() {
		defer close(listingChecked)
		s.requireNotListed(s.daemons[0])
	}()
	s.daemons[0].signal(syscall.SIGHUP)
	reload := time.AfterFunc(time.Second, func() { s.daemons[0].signal(syscall.SIGHUP) })
	defer reload.Stop()
	s.daemons[0].terminate(stopTimeout)
	<-listingChecked
	var both sync.WaitGroup
	for _, d := range s.daemons[1:3] {
		both.Go(func() { d.terminate(stopTimeout) })
	}
	both.Wait()
	sleep(warmUpTime)
	outcomes := l.finish()
	l.collectRuns()
	requireOnlyCompleted(t, outcomes)
	s.log.check()
}

// requireNotListed waits until a stopping daemon begins to wait for the expiry of the entry responses that contain its
// address, and checks that no other daemon returns that address to callers from then on.
func (s *system) requireNotListed(stopping *daemon) {
	for {
		raw, _ := os.ReadFile(stopping.logPath)
		if strings.Contains(string(raw), "waiting until entry answers") {
			break
		}
		select {
		case <-stopping.done:
			s.t.Error("the daemon exited without waiting until entry responses expire")
			return
		case <-time.After(time.Millisecond):
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	// A response contains a random subset of the daemons.
	const queries = 10
	for range queries {
		for _, d := range s.daemons {
			if d != stopping && slices.Contains(entryURLs(ctx, d), "http://"+stopping.callers) {
				s.t.Errorf("%s still returns the address of %s, which already waits until such responses expire", d.id, stopping.id)
				return
			}
		}
	}
}

// TestFaultRollingReplacement guards against a rolling replacement of all VMs that interrupts requests or loses the
// configuration.
func TestFaultRollingReplacement(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	l := s.startLoad(4, 2)
	for _, old := range s.daemons[:3] {
		d := s.addDaemon()
		s.startDaemon(d)
		eventually(t, startTimeout, d.id+" serves", func() error {
			return s.stream(withTimeout(t, requestTimeout), d, chat{prompt: "probe", maxTokens: 3, workspace: "show"}).checkCompleted()
		})
		old.terminate(stopTimeout)
	}
	outcomes := l.finish()
	l.collectRuns()
	requireOnlyCompleted(t, outcomes)
	s.log.check()
}

func requireOnlyCompleted(t *testing.T, outcomes map[string]int) {
	t.Helper()
	t.Logf("outcomes %v", outcomes)
	for _, kind := range []string{"chat", "booking"} {
		for _, o := range []checker.Outcome{checker.NotRun, checker.Failed, checker.Unknown} {
			if n := outcomes[kind+" "+string(o)]; n > 0 {
				t.Errorf("%d times %s %s during graceful shutdowns, want 0", n, kind, o)
			}
		}
		if outcomes[kind+" completed"] == 0 {
			t.Errorf("no %s completed", kind)
		}
	}
}

// TestFaultStopWaitsForLongStream guards against a stopping daemon that exits before a stream that was already
// running has ended.
func TestFaultStopWaitsForLongStream(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 1, tokenTime: "40ms"})
	d := s.daemons[0]
	const tokens = 200
	prompt := longPrompt("the whole care history", tokens)
	started := make(chan struct{})
	var once sync.Once
	done := make(chan answer, 1)
	go func() {
		done <- s.sendLogged(withTimeout(t, loadRequestTimeout), d, chat{id: "long", prompt: prompt, maxTokens: tokens, workspace: "archive", onToken: func(int) { once.Do(func() { close(started) }) }})
	}()
	<-started
	d.terminate(stopTimeout)
	if err := (<-done).checkCompleted(); err != nil {
		t.Error(err)
	}
	s.log.check()
}

// TestFaultTwoStopsDuringLongStream guards against a stream that is interrupted because the scheduler of its endpoint
// and its entry daemon stop at the same time.
func TestFaultTwoStopsDuringLongStream(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, tokenTime: "40ms"})
	const tokens = 250
	var streams, stops sync.WaitGroup
	for i, d := range s.daemons[:2] {
		started := make(chan struct{})
		streams.Go(func() {
			c := chat{id: d.id, prompt: longPrompt("history "+d.id, tokens), maxTokens: tokens, workspace: "archive", onToken: func(n int) {
				if n == 1 {
					close(started)
				}
			}}
			if err := s.sendLogged(withTimeout(t, loadRequestTimeout), d, c).checkCompleted(); err != nil {
				t.Errorf("stream %d: %v", i, err)
			}
		})
		<-started
	}
	for _, d := range s.daemons[:2] {
		stops.Go(func() { d.terminate(stopTimeout) })
	}
	streams.Wait()
	stops.Wait()
	for _, e := range s.engines {
		for id, r := range e.engineRuns(t).ByID {
			if r.Resumed > 0 || r.Canceled > 0 {
				t.Errorf("stream %s was moved or canceled at %s: %+v", id, e.id, r)
			}
		}
	}
	s.log.check()
}

// longPrompt returns a prompt for which the stand-in engine generates n tokens.
func longPrompt(text string, n int) string { return fmt.Sprintf("%s length=%d", text, n) }

// TestFaultLeavingEndpoint guards against new requests to an endpoint that the VM list shows as leaving, even while
// the key-value service is down, and against the interruption of requests that already run there.
func TestFaultLeavingEndpoint(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	s.setVMState("vm-"+s.engines[0].id, platform.VMLive)
	l := s.startLoad(5, 1)
	sleep(2 * time.Second)
	kvCut.begin(s)
	s.setVMState("vm-"+s.engines[0].id, platform.VMLeaving)
	s.log.add(checker.Event{Kind: checker.EndpointLeaving, Endpoint: s.engines[0].id})
	sleep(checker.DefaultBounds.LeavingDelay)
	before := s.startedAttempts(s.engines[0])
	if before == 0 {
		t.Error("the engine ran nothing before it was leaving; the test is inconclusive")
	}
	sleep(2 * time.Second)
	if after := s.startedAttempts(s.engines[0]); after != before {
		t.Errorf("the leaving engine began %d requests more than %v after the list showed it",
			after-before, checker.DefaultBounds.LeavingDelay)
	}
	kvCut.clear(s)
	outcomes := l.finish()
	if n := outcomes["chat failed"] + outcomes["chat not_run"]; n > 0 {
		t.Errorf("%d chats did not complete: %v", n, outcomes)
	}
	s.log.check()
}

// setVMState sets the state of an endpoint's VM in the VM list.
func (s *system) setVMState(id string, state platform.VMState) {
	s.t.Helper()
	s.postJSON("http://"+s.vms.addr+"/admin/vms", map[string]any{"put": []platform.VM{{ID: id, Role: "endpoint", State: state}}})
}

// startedAttempts returns the number of attempts that an engine has started.
func (s *system) startedAttempts(v *service) int {
	s.t.Helper()
	total := 0
	for _, r := range v.engineRuns(s.t).ByID {
		total += r.Started
	}
	return total
}

// TestFaultDrainedEndpoint guards against a drain request that does not reach every scheduler.
func TestFaultDrainedEndpoint(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	if err := s.runCLI(s.daemons[2], nil, "drain", s.engines[1].id); err != nil {
		t.Fatal(err)
	}
	sleep(time.Second)
	before := s.startedAttempts(s.engines[1])
	for i := range 20 {
		a := s.sendLogged(withTimeout(t, requestTimeout), s.daemons[i%3], chat{id: fmt.Sprint(i), prompt: fmt.Sprint("q", i), maxTokens: 5, workspace: "show"})
		if err := a.checkCompleted(); err != nil {
			t.Error(err)
		}
	}
	if after := s.startedAttempts(s.engines[1]); after != before {
		t.Errorf("the drained engine ran %d requests", after-before)
	}
	s.log.check()
}
