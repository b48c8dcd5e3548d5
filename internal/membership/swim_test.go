package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/chivewind/chivewind/peer"
)

// TestSWIM runs the fault scenarios in testdata. Each file states the failure that it guards
// against.
func TestSWIM(t *testing.T) {
	datadriven.Walk(t, "testdata/swim", func(t *testing.T, path string) {
		var s *sim
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				var n int
				var seed uint64
				d.ScanArgs(t, "n", &n)
				d.ScanArgs(t, "seed", &seed)
				s = newSim(n, seed, nil)
				return fmt.Sprintf("seed %d\n", seed)
			}
			return s.command(t, d)
		})
	})
}

// memberArgs returns the arguments without a value, which are member ids.
func memberArgs(d *datadriven.TestData) []string {
	var list []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			list = append(list, a.Key)
		}
	}
	return list
}

// command runs one command of a scenario and returns its output.
func (s *sim) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "run":
		s.run(duration(t, d, "for"))
	case "kill":
		for _, id := range memberArgs(d) {
			s.node(id).down = true
		}
	case "restart":
		for _, id := range memberArgs(d) {
			s.restart(s.node(id))
		}
	case "restart-alone":
		for _, id := range memberArgs(d) {
			s.restartAlone(s.node(id))
		}
	case "pause":
		s.node(memberArgs(d)[0]).paused = true
	case "resume":
		s.resume(s.node(memberArgs(d)[0]))
	case "leave":
		s.node(memberArgs(d)[0]).state.Leave(d.HasArg("final"))
		s.flush(s.node(memberArgs(d)[0]))
	case "partition":
		side := memberArgs(d)
		s.drops = func(from, to string) bool {
			return slices.Contains(side, from) != slices.Contains(side, to)
		}
	case "lose-from":
		senders := memberArgs(d)
		s.drops = func(from, _ string) bool { return slices.Contains(senders, from) }
	case "lose-between":
		pair := memberArgs(d)
		s.drops = func(from, to string) bool { return slices.Contains(pair, from) && slices.Contains(pair, to) }
	case "lose-share":
		var percent int
		d.ScanArgs(t, "percent", &percent)
		rng := rand.New(rand.NewPCG(1, 1))
		s.drops = func(_, _ string) bool { return rng.IntN(100) < percent }
	case "heal":
		s.drops = func(_, _ string) bool { return false }
	case "await":
		return s.await(t, d)
	case "rolling-restart":
		return s.rollingRestart(t)
	case "views":
		return s.views()
	case "states":
		return s.states(memberArgs(d)[0])
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, arg string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, arg, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// await runs until all running daemons, other than those named in the argument except, see the given
// number of live members.
func (s *sim) await(t *testing.T, d *datadriven.TestData) string {
	var live int
	var except string
	d.ScanArgs(t, "live", &live)
	d.MaybeScanArgs(t, "except", &except)
	limit := duration(t, d, "within")
	start := s.now
	for !s.viewsAgree(live, strings.Split(except, "+")) {
		if s.now-start >= limit {
			return fmt.Sprintf("not within %s\n%s", limit, s.views())
		}
		s.run(tickInterval)
	}
	return fmt.Sprintf("after %s\n", s.now-start)
}

// restartAlone starts a new process that knows no other daemon.
func (s *sim) restartAlone(node *simNode) {
	node.self.Incarnation += 1000
	s.startNode(node, node.self.Incarnation)
}

// restart restarts a daemon under the same id. It joins through the first running daemon.
func (s *sim) restart(node *simNode) {
	s.restartAlone(node)
	for _, other := range s.nodes {
		if other != node && !other.down {
			node.state.Merge(s.now, other.state.All())
			other.state.Merge(s.now, []*peer.Member{node.state.Self()})
			break
		}
	}
}

// rollingRestart makes each daemon leave, stop and start in turn. It fails if a daemon that is not
// being restarted is missing from any view.
func (s *sim) rollingRestart(t *testing.T) string {
	for i, node := range s.nodes {
		node.state.Leave(false)
		s.flush(node)
		// A leave is announced to all members over drpc.
		for _, other := range s.nodes {
			if other != node {
				other.state.Merge(s.now, []*peer.Member{node.state.Self()})
			}
		}
		if !s.viewsAgree(len(s.nodes)-1, nil) {
			return fmt.Sprintf("wrong view while %s leaves\n%s", node.id, s.views())
		}
		s.run(2 * time.Second)
		node.state.Leave(true)
		node.state.Advertise()
		s.flush(node)
		node.down = true
		s.run(3 * time.Second)
		if !s.viewsAgree(len(s.nodes)-1, nil) {
			return fmt.Sprintf("wrong view while %s is down\n%s", node.id, s.views())
		}
		s.restart(node)
		s.run(5 * time.Second)
		if !s.viewsAgree(len(s.nodes), nil) {
			return fmt.Sprintf("wrong view after restart %d\n%s", i, s.views())
		}
	}
	return "ok\n"
}

// states lists the states of all members as seen by one daemon.
func (s *sim) states(id string) string {
	var out strings.Builder
	for _, m := range s.node(id).state.All() {
		state := strings.ToLower(strings.TrimPrefix(m.State.String(), "MEMBER_STATE_"))
		fmt.Fprintf(&out, "%s %s\n", m.Id, state)
	}
	return out.String()
}

// TestRandomFaults guards against combinations of faults after which the views never converge.
func TestRandomFaults(t *testing.T) {
	const n = 9
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newSim(n, seed, nil)
		for range 6 {
			node := s.nodes[rng.IntN(n)]
			side := rng.IntN(1 << n)
			in := func(id string) bool { return side>>s.idNumber(id)&1 == 1 }
			switch rng.IntN(4) {
			case 0:
				node.down = true
			case 1:
				node.paused = true
			case 2:
				s.drops = func(from, to string) bool { return in(from) != in(to) }
			case 3:
				s.drops = func(from, _ string) bool { return in(from) }
			}
			s.run(time.Duration(rng.IntN(15000)) * time.Millisecond)
			s.drops = func(_, _ string) bool { return false }
			if node.paused {
				s.resume(node)
			}
			if node.down {
				s.restart(node)
			}
			s.run(time.Duration(rng.IntN(5000)) * time.Millisecond)
		}
		// A flapping member may be excluded for up to a minute (MaxFlapExclusion).
		if took := s.converge(90*time.Second, n); took >= 90*time.Second {
			t.Errorf("seed %d: no agreement 90 s after the last fault\n%s", seed, s.views())
		}
		s.run(30 * time.Second)
		if !s.viewsAgree(n, nil) {
			t.Errorf("seed %d: views changed without a fault\n%s", seed, s.views())
		}
	}
}
