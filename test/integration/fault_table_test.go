package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/faultproxy"
)

// fault is one row of the table: what happens under load, and how long it lasts.
type fault struct {
	desc string
	// begin brings the fault about and end heals it.
	begin, end func(*system)
	lasts      time.Duration
	// spares says that no chat may fail or be refused: other endpoints can take over.
	spares bool
}

// The faults of single parts. Each is also part of a pair.
var (
	engineCrash  = fault{desc: "engine crashes", spares: true, begin: func(s *system) { s.crash(s.engines[0], "1500ms") }}
	engineFreeze = fault{desc: "engine frozen", spares: true, begin: func(s *system) { s.engines[0].freeze() }, end: func(s *system) { s.engines[0].thaw() }}
	engineCut    = engineFault("engine cut off", faultproxy.Fault{Cut: true})
	engineSilent = engineFault("engine connections go silent", faultproxy.Fault{SilenceOpen: true})
	engineOneWay = engineFault("engine's answers are lost", faultproxy.Fault{DropToClient: true})
	engineSlow   = engineFault("engine slow to reach", faultproxy.Fault{Latency: 100 * time.Millisecond, Jitter: 100 * time.Millisecond})
	daemonKill   = fault{desc: "daemon killed and replaced", begin: func(s *system) { s.daemons[0].kill() }, end: func(s *system) { s.startDaemon(s.daemons[0]) }}
	daemonFreeze = fault{desc: "daemon frozen", begin: func(s *system) { s.daemons[1].freeze() }, end: func(s *system) { s.daemons[1].thaw() }, lasts: 8 * time.Second}
	peerCut      = proxyFault("daemon cut off from peers", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{Cut: true})
	peerOneWay   = proxyFault("daemon receives nothing from peers", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{DropToServer: true})
	peerNoAnswer = proxyFault("daemon's answers to peers are lost", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{DropToClient: true})
	peerSilent   = proxyFault("peer connections go silent", func(s *system) *faultproxy.Proxy { return s.daemons[0].peer }, faultproxy.Fault{SilenceOpen: true})
	peersAllCut  = fault{desc: "all daemons cut off from each other", lasts: 8 * time.Second,
		begin: func(s *system) { s.setPeers(faultproxy.Fault{Cut: true}) },
		end:   func(s *system) { s.setPeers(faultproxy.Fault{}) },
	}
	kvCut         = kvFault("key-value service down", faultproxy.Fault{Cut: true})
	kvSilent      = kvFault("key-value connections go silent", faultproxy.Fault{SilenceOpen: true})
	kvLostReplies = kvFault("key-value replies lost", faultproxy.Fault{LoseReplies: true})
	kvSlow        = kvFault("key-value service slow", faultproxy.Fault{Latency: 300 * time.Millisecond, Jitter: 200 * time.Millisecond})
	kvVerySlow    = fault{desc: "key-value service very slow", lasts: 10 * time.Second, begin: kvFault("", faultproxy.Fault{Latency: 1500 * time.Millisecond, Jitter: time.Second}).begin, end: kvSlow.end}
	plainCrash    = fault{desc: "plain service crashes after a run", begin: func(s *system) {
		s.setFaults(s.plains[0], map[string]int{"crash_after_run_ms": 500, "times": 2})
	}}
)

func proxyFault(desc string, proxy func(*system) *faultproxy.Proxy, f faultproxy.Fault) fault {
	return fault{desc: desc,
		begin: func(s *system) { proxy(s).Set(f) },
		end:   func(s *system) { proxy(s).Set(faultproxy.Fault{}) },
	}
}

// engineFault is a fault between the daemons and one of several engines.
func engineFault(desc string, f faultproxy.Fault) fault {
	row := proxyFault(desc, func(s *system) *faultproxy.Proxy { return s.engines[0].proxy }, f)
	row.spares = true
	return row
}

// setPeers sets a fault between all daemons.
func (s *system) setPeers(f faultproxy.Fault) {
	for _, d := range s.daemons {
		d.peer.Set(f)
	}
}

// kvFault is a fault between every daemon and the key-value service.
func kvFault(desc string, f faultproxy.Fault) fault {
	set := func(f faultproxy.Fault) func(*system) {
		return func(s *system) {
			for _, d := range s.daemons {
				d.kv.Set(f)
			}
		}
	}
	return fault{desc: desc, begin: set(f), end: set(faultproxy.Fault{})}
}

// pair is two faults at the same time.
func pair(a, b fault) fault {
	return fault{desc: a.desc + " and " + b.desc, lasts: max(a.lasts, b.lasts),
		begin: func(s *system) { a.begin(s); b.begin(s) },
		end:   func(s *system) { a.heal(s); b.heal(s) },
	}
}

func (f fault) heal(s *system) {
	if f.end != nil {
		f.end(s)
	}
}

// Durations of a row.
const (
	beforeFault  = 500 * time.Millisecond
	defaultFault = 3 * time.Second
	// recovery bounds the time after healing until a chat and a booking complete again: the
	// suspicion timeout, the ledger's lease and the time of a flapping member's exclusion.
	recovery = 30 * time.Second
)

// TestFaultTable guards against requests that are lost, doubled, cut, mixed up or falsely reported
// as not run while a part of the system fails, and against a system that does not recover.
func TestFaultTable(t *testing.T) {
	for _, f := range []fault{
		engineCrash, engineFreeze, engineCut, engineSilent, engineOneWay, engineSlow,
		daemonKill, daemonFreeze, peerCut, peerOneWay, peerNoAnswer, peerSilent, peersAllCut,
		kvCut, kvSilent, kvLostReplies, kvSlow, kvVerySlow, plainCrash,
		pair(engineCrash, daemonKill), pair(engineSilent, peerSilent), pair(kvCut, daemonKill),
		pair(kvLostReplies, plainCrash), pair(daemonFreeze, kvLostReplies), pair(peerOneWay, engineCrash),
		pair(engineCrash, plainCrash), pair(daemonKill, daemonFreeze),
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
	wait(beforeFault)
	f.begin(s)
	lasts := f.lasts
	if lasts == 0 {
		lasts = defaultFault
	}
	wait(lasts)
	f.heal(s)
	s.requireService()
	outcomes := l.finish()
	l.collectRuns()
	t.Logf("%s: outcomes %v", f.desc, outcomes)
	if outcomes["chat completed"] == 0 || outcomes["booking completed"] == 0 {
		t.Errorf("nothing completed: %v", outcomes)
	}
	if n := outcomes["chat failed"] + outcomes["chat not_run"]; f.spares && n > 0 {
		t.Errorf("%d chats did not complete: %v", n, outcomes)
	}
	s.log.check()
}

// wait lets real processes run for a time.
func wait(d time.Duration) { <-time.After(d) }

// requireService waits until every daemon completes a chat and a booking again.
func (s *system) requireService() {
	s.t.Helper()
	for _, d := range s.daemons {
		eventually(s.t, recovery, "chat through "+d.id, func() error {
			a := s.stream(withTimeout(s.t, requestBound), d, chat{id: "probe", prompt: "probe " + d.id, maxTokens: 5, workspace: "show"})
			return a.mustComplete()
		})
		eventually(s.t, recovery, "booking through "+d.id, func() error {
			a := s.book(withTimeout(s.t, requestBound), d, "probe-"+d.id+time.Now().String(), "{}")
			return a.mustComplete()
		})
	}
}

// mustComplete describes an answer that is not a whole one.
func (a answer) mustComplete() error {
	if a.outcome == checker.Completed && !a.cut {
		return nil
	}
	return fmt.Errorf("status %d, outcome %q, cut %v, error %v, text %.200q", a.status, a.outcome, a.cut, a.err, a.text)
}

// crash makes a stand-in break all connections, also the one of this call, and refuse new ones for a
// time.
func (s *system) crash(v *service, down string) {
	s.t.Helper()
	resp, err := http.Post("http://"+v.addr+"/admin/crash?down="+down, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}
