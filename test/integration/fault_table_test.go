package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/faultproxy"
)

// fault is one entry of the fault table: a fault that is injected under load, and its duration.
type fault struct {
	desc string
	// begin injects the fault and end clears it; end may be nil.
	begin, end func(*system)
	// duration is the time between begin and end; 0 selects defaultFaultDuration.
	duration time.Duration
	// allChatsComplete requires that no chat fails or is refused, because other endpoints can take over.
	allChatsComplete bool
}

// Faults of single components. Some are also combined in pairs.
var (
	engineCrash    = fault{desc: "engine crashes", allChatsComplete: true, begin: func(s *system) { s.crash(s.engines[0], "1500ms") }}
	enginePause    = fault{desc: "engine frozen", allChatsComplete: true, begin: func(s *system) { s.engines[0].pause() }, end: func(s *system) { s.engines[0].resume() }}
	engineCut      = engineFault("engine cut off", faultproxy.Fault{Cut: true})
	engineSilent   = engineFault("engine connections go silent", faultproxy.Fault{StallOpen: true})
	engineNoAnswer = engineFault("engine's answers are lost", faultproxy.Fault{DropToClient: true})
	engineSlow     = engineFault("engine slow to reach", faultproxy.Fault{Latency: 100 * time.Millisecond, Jitter: 100 * time.Millisecond})
	daemonKill     = fault{desc: "daemon killed and replaced", begin: func(s *system) { s.daemons[0].kill() }, end: func(s *system) { s.startDaemon(s.daemons[0]) }}
	daemonPause    = fault{desc: "daemon frozen", begin: func(s *system) { s.daemons[1].pause() }, end: func(s *system) { s.daemons[1].resume() }, duration: 8 * time.Second}
	peerCut        = proxyFault("daemon cut off from peers", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{Cut: true})
	peerNoRequest  = proxyFault("daemon receives nothing from peers", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{DropToServer: true})
	peerNoAnswer   = proxyFault("daemon's answers to peers are lost", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{DropToClient: true})
	peerSilent     = proxyFault("peer connections go silent", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{StallOpen: true})
	peersAllCut    = fault{desc: "all daemons cut off from each other", duration: 8 * time.Second,
		begin: func(s *system) { s.setPeerFault(faultproxy.Fault{Cut: true}) },
		end:   func(s *system) { s.setPeerFault(faultproxy.Fault{}) },
	}
	kvCut         = kvFault("key-value service down", faultproxy.Fault{Cut: true})
	kvSilent      = kvFault("key-value connections go silent", faultproxy.Fault{StallOpen: true})
	kvLostReplies = kvFault("key-value replies lost", faultproxy.Fault{DropReplies: true})
	kvSlow        = kvFault("key-value service slow", faultproxy.Fault{Latency: 300 * time.Millisecond, Jitter: 200 * time.Millisecond})
	// kvFault cannot set a duration, so kvVerySlow takes begin and end from faults that kvFault returns.
	kvVerySlow = fault{desc: "key-value service very slow", duration: 10 * time.Second, begin: kvFault("", faultproxy.Fault{Latency: 1500 * time.Millisecond, Jitter: time.Second}).begin, end: kvSlow.end}
	plainCrash = fault{desc: "plain service crashes after a run", begin: func(s *system) {
		s.setFaults(s.plains[0], map[string]int{"crash_after_run_ms": 500, "times": 2})
	}}
)

func proxyFault(desc string, proxy func(*system) *faultproxy.Proxy, f faultproxy.Fault) fault {
	return fault{desc: desc,
		begin: func(s *system) { proxy(s).SetFault(f) },
		end:   func(s *system) { proxy(s).SetFault(faultproxy.Fault{}) },
	}
}

// engineFault returns a network fault between the daemons and one of several engines. All chats must complete, because
// the other engines can take over.
func engineFault(desc string, f faultproxy.Fault) fault {
	entry := proxyFault(desc, func(s *system) *faultproxy.Proxy { return s.engines[0].proxy }, f)
	entry.allChatsComplete = true
	return entry
}

// setPeerFault injects a network fault between all daemons.
func (s *system) setPeerFault(f faultproxy.Fault) {
	for _, d := range s.daemons {
		d.peer.SetFault(f)
	}
}

// kvFault returns a network fault between every daemon and the key-value service.
func kvFault(desc string, f faultproxy.Fault) fault {
	set := func(f faultproxy.Fault) func(*system) {
		return func(s *system) {
			for _, d := range s.daemons {
				d.kv.SetFault(f)
			}
		}
	}
	return fault{desc: desc, begin: set(f), end: set(faultproxy.Fault{})}
}

// combine returns a fault that consists of two simultaneous faults. It does not require that all chats complete.
func combine(a, b fault) fault {
	return fault{desc: a.desc + " and " + b.desc, duration: max(a.duration, b.duration),
		begin: func(s *system) { a.begin(s); b.begin(s) },
		end:   func(s *system) { a.clear(s); b.clear(s) },
	}
}

func (f fault) clear(s *system) {
	if f.end != nil {
		f.end(s)
	}
}

// Durations of the phases of a fault test.
const (
	warmUpTime           = 500 * time.Millisecond
	defaultFaultDuration = 3 * time.Second
	// recoveryTimeout limits each wait for the recovery from a fault, for example until a chat through one daemon
	// completes again. It covers SuspicionTimeout and MinFlapExclusion of the swim configuration, and
	// ledger.DefaultLeaseTTL.
	recoveryTimeout = 30 * time.Second
)

// TestFaultTable guards against requests that are lost, duplicated, truncated, mixed up or incorrectly reported as not
// run while a component fails, and against a system that does not recover.
func TestFaultTable(t *testing.T) {
	for _, f := range []fault{
		engineCrash, enginePause, engineCut, engineSilent, engineNoAnswer, engineSlow,
		daemonKill, daemonPause, peerCut, peerNoRequest, peerNoAnswer, peerSilent, peersAllCut,
		kvCut, kvSilent, kvLostReplies, kvSlow, kvVerySlow, plainCrash,
		combine(engineCrash, daemonKill), combine(engineSilent, peerSilent), combine(kvCut, daemonKill),
		combine(kvLostReplies, plainCrash), combine(daemonPause, kvLostReplies), combine(peerNoRequest, engineCrash),
		combine(engineCrash, plainCrash), combine(daemonKill, daemonPause),
	} {
		t.Run(f.desc, func(t *testing.T) {
			t.Parallel()
			runFault(t, f)
		})
	}
}

func runFault(t *testing.T, f fault) {
	s := newSystem(t, options{daemons: 4, engines: 3, plains: 2})
	l := s.startLoad(6, 3)
	sleep(warmUpTime)
	f.begin(s)
	duration := f.duration
	if duration == 0 {
		duration = defaultFaultDuration
	}
	sleep(duration)
	f.clear(s)
	s.requireRecovery()
	l.requireCompletions()
	outcomes := l.finish()
	l.collectRuns()
	t.Logf("%s: outcomes %v", f.desc, outcomes)
	if outcomes["chat completed"] == 0 || outcomes["booking completed"] == 0 {
		t.Errorf("nothing completed: %v", outcomes)
	}
	if n := outcomes["chat failed"] + outcomes["chat not_run"]; f.allChatsComplete && n > 0 {
		t.Errorf("%d chats did not complete: %v", n, outcomes)
	}
	s.log.check()
}

// sleep blocks for d; the load and the system's processes keep running.
func sleep(d time.Duration) { <-time.After(d) }

// requireRecovery waits until every daemon completes a chat and a booking again. It fails the test if one of these
// waits exceeds recoveryTimeout.
func (s *system) requireRecovery() {
	s.t.Helper()
	for _, d := range s.daemons {
		eventually(s.t, recoveryTimeout, "chat through "+d.id, func() error {
			a := s.stream(withTimeout(s.t, requestTimeout), d, chat{id: "probe", prompt: "probe " + d.id, maxTokens: 5, workspace: "show"})
			return a.checkCompleted()
		})
		eventually(s.t, recoveryTimeout, "booking through "+d.id, func() error {
			a := s.book(withTimeout(s.t, requestTimeout), d, "probe-"+d.id+time.Now().String(), "{}")
			return a.checkCompleted()
		})
	}
}

// checkCompleted returns an error unless the answer is completed and not cut.
func (a answer) checkCompleted() error {
	if a.outcome == checker.Completed && !a.cut {
		return nil
	}
	return fmt.Errorf("status %d, outcome %q, cut %v, error %v, text %.200q", a.status, a.outcome, a.cut, a.err, a.text)
}

// crash makes a stand-in reset all connections, including the one of this call, and refuse new ones for the
// duration down, for example "1500ms".
func (s *system) crash(v *service, down string) {
	s.t.Helper()
	resp, err := http.Post("http://"+v.addr+"/admin/crash?down="+down, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}
