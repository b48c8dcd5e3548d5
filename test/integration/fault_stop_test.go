package integration

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/platform"
)

// stopBound is more than a graceful shutdown needs: the suspicion timeout, the validity of entry
// answers and the longest request of the tests.
const stopBound = 40 * time.Second

// TestFaultGracefulStop guards against planned stops that cut off requests: one daemon, then two at
// the same time, under load. No request may end in any way but completed.
func TestFaultGracefulStop(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 4, engines: 2, plains: 1})
	l := s.startLoad(6, 2)
	wait(beforeFault)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.requireAnnounced(s.daemons[0])
	}()
	s.daemons[0].terminate(stopBound)
	<-announced
	var both sync.WaitGroup
	for _, d := range s.daemons[1:3] {
		both.Go(func() { d.terminate(stopBound) })
	}
	both.Wait()
	wait(beforeFault)
	outcomes := l.finish()
	l.collectRuns()
	requireOnlyCompleted(t, outcomes)
	s.log.check()
}

// requireAnnounced checks that no other daemon names a stopping one from the moment at which that one
// starts to wait for the end of the entry answers with its address.
func (s *system) requireAnnounced(leaving *daemon) {
	for {
		raw, _ := os.ReadFile(leaving.log)
		if strings.Contains(string(raw), "waiting until entry answers") {
			break
		}
		select {
		case <-leaving.done:
			s.t.Error("the daemon ended without waiting for the end of entry answers")
			return
		case <-time.After(time.Millisecond):
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	// An answer names a random part of the daemons.
	const asks = 10
	for range asks {
		for _, d := range s.daemons {
			if d != leaving && slices.Contains(entryOf(ctx, d), "http://"+leaving.callers) {
				s.t.Errorf("%s names %s, which already waits for the end of such answers", d.id, leaving.id)
				return
			}
		}
	}
}

// TestFaultRollingReplacement guards against a replacement of all VMs, one after the other, that cuts
// off requests or loses the configuration.
func TestFaultRollingReplacement(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	l := s.startLoad(4, 2)
	for _, old := range s.daemons[:3] {
		d := s.addDaemon()
		s.startDaemon(d)
		eventually(t, startTime, d.id+" serves", func() error {
			return s.stream(withTimeout(t, requestBound), d, chat{prompt: "probe", maxTokens: 3, workspace: "show"}).mustComplete()
		})
		old.terminate(stopBound)
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
				t.Errorf("%d times %s %s during planned stops, want 0", n, kind, o)
			}
		}
		if outcomes[kind+" completed"] == 0 {
			t.Errorf("no %s completed", kind)
		}
	}
}

// TestFaultStopWaitsForLongStream guards against a daemon that exits before a stream which began
// before its stop has ended.
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
		done <- s.send(withTimeout(t, loadRequestBound), d, chat{id: "long", prompt: prompt, maxTokens: tokens, workspace: "archive", onToken: func(int) { once.Do(func() { close(started) }) }})
	}()
	<-started
	d.terminate(stopBound)
	if err := (<-done).mustComplete(); err != nil {
		t.Error(err)
	}
	s.log.check()
}

// TestFaultTwoStopsDuringLongStream guards against a stream that is cut because the scheduler of its
// endpoint stops while the stream's own daemon stops too.
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
			if err := s.send(withTimeout(t, loadRequestBound), d, c).mustComplete(); err != nil {
				t.Errorf("stream %d: %v", i, err)
			}
		})
		<-started
	}
	for _, d := range s.daemons[:2] {
		stops.Go(func() { d.terminate(stopBound) })
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

// longPrompt returns a prompt whose answer at the stand-in engine has n tokens.
func longPrompt(text string, n int) string { return fmt.Sprintf("%s length=%d", text, n) }

// TestFaultLeavingEndpoint guards against new work for an endpoint that the VM list shows as leaving,
// also while the key-value service is down, and against the end of what runs there.
func TestFaultLeavingEndpoint(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	s.putVM("vm-"+s.engines[0].id, platform.VMLive)
	l := s.startLoad(5, 1)
	wait(2 * time.Second)
	kvCut.begin(s)
	s.putVM("vm-"+s.engines[0].id, platform.VMLeaving)
	s.log.add(checker.Event{Kind: checker.EndpointLeaving, Endpoint: s.engines[0].id})
	wait(checker.DefaultBounds.Leaving)
	before := s.engineRuns(s.engines[0])
	if before == 0 {
		t.Error("the engine ran nothing before it was leaving; the test shows nothing")
	}
	wait(2 * time.Second)
	if after := s.engineRuns(s.engines[0]); after != before {
		t.Errorf("the leaving engine began %d requests more than %v after the list showed it", after-before, checker.DefaultBounds.Leaving)
	}
	kvCut.heal(s)
	outcomes := l.finish()
	if n := outcomes["chat failed"] + outcomes["chat not_run"]; n > 0 {
		t.Errorf("%d chats did not complete: %v", n, outcomes)
	}
	s.log.check()
}

// putVM sets the state of a VM in the VM list.
func (s *system) putVM(id string, state platform.VMState) {
	s.t.Helper()
	s.postJSON("http://"+s.vms.addr+"/admin/vms", map[string]any{"put": []platform.VM{{ID: id, Role: "endpoint", State: state}}})
}

// engineRuns returns the attempts that an engine began.
func (s *system) engineRuns(v *service) int {
	s.t.Helper()
	total := 0
	for _, r := range v.engineRuns(s.t).ByID {
		total += r.Started
	}
	return total
}

// TestFaultDrainedEndpoint guards against an operator's drain that does not reach every scheduler.
func TestFaultDrainedEndpoint(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	if err := s.cli(s.daemons[2], nil, "drain", s.engines[1].id); err != nil {
		t.Fatal(err)
	}
	wait(time.Second)
	before := s.engineRuns(s.engines[1])
	for i := range 20 {
		a := s.send(withTimeout(t, requestBound), s.daemons[i%3], chat{id: fmt.Sprint(i), prompt: fmt.Sprint("q", i), maxTokens: 5, workspace: "show"})
		if err := a.mustComplete(); err != nil {
			t.Error(err)
		}
	}
	if after := s.engineRuns(s.engines[1]); after != before {
		t.Errorf("the drained engine ran %d requests", after-before)
	}
	s.log.check()
}
