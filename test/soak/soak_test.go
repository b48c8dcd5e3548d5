// Package soak runs entry daemons as separate processes on the loopback interface, injects random faults from the
// outside, and checks the daemons' guarantees against what callers and endpoints observe. A seed determines the
// sequence of faults; the timing of the processes is not reproducible.
//
//	go test ./test/soak -run TestSoak -args -seeds 50 -first 1000
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	// The tests build the program with go build, which is invisible to the test cache. This import makes cached
	// results depend on the program's packages.
	_ "github.com/chivewind/chivewind/cli"
)

var (
	seeds  = flag.Int("seeds", 1, "number of seeds to run")
	first  = flag.Uint64("first", 1, "first seed")
	length = flag.Duration("length", 6*time.Second, "time for which faults are injected")
)

// regressionSeeds are seeds with which the test has failed, each with the cause. They are always run.
var regressionSeeds = []uint64{
	// A daemon did not start: an outgoing connection of another process took its port between the selection of
	// the port and the start. To prevent this, ports are selected below the ephemeral port range.
	120,
}

// binary is the path of the program under test.
var binary string

// TestMain builds the program and runs the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "chivewind-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "chivewind")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/chivewind").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak checks the guarantees to callers and endpoints when several faults overlap. It guards against a
// non-idempotent request that runs twice, a request that is reported as not run but did run, a response to a
// different request, a truncated response that looks complete, a request to an endpoint that is leaving or wants a
// pause, a configuration that never takes effect, a daemon that ends by itself, a duty that two daemons hold, usage that
// is reported twice or not at all, and a system that does not recover.
func TestSoak(t *testing.T) {
	run := append([]uint64(nil), regressionSeeds...)
	for i := range *seeds {
		run = append(run, *first+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSystem(t, seed)
			s.waitForVersion(t, 1)
			s.injectFaults(rand.New(rand.NewPCG(seed, 0)), *length)
			s.clearFaults()
			s.waitForVersion(t, s.publishConfig())
			s.waitForUsage(t)
			s.stop()
			for _, problem := range s.violations() {
				t.Errorf("seed %d: %s", seed, problem)
			}
			t.Logf("seed %d: %s; faults: %v", seed, s.summary(), s.faults)
		})
	}
}

// injectFaults injects random, overlapping faults for the given time.
func (s *system) injectFaults(random *rand.Rand, length time.Duration) {
	end := time.Now().Add(length)
	var copies storeCopies
	for time.Now().Before(end) {
		copies.take(s.store)
		d := s.daemons[random.IntN(len(s.daemons))]
		duration := time.Duration(200+random.IntN(1500)) * time.Millisecond
		switch random.IntN(14) {
		case 0:
			s.recordFault("kill", d.name)
			d.restart(syscall.SIGKILL)
		case 1:
			s.recordFault("terminate", d.name)
			d.restart(syscall.SIGTERM)
		case 2:
			s.recordFault("pause", d.name)
			d.pause(duration)
		case 3:
			s.recordFault("store silent", "")
			s.store.SetSilent(true)
			time.AfterFunc(duration, func() { s.store.SetSilent(false) })
		case 4:
			s.recordFault("store refuses", "")
			s.store.SetStatus(503)
			time.AfterFunc(duration, func() { s.store.SetStatus(0) })
		case 5:
			s.recordFault("store connection fault", d.name)
			d.injectStoreFault(duration, random.IntN(3))
		case 6:
			s.recordFault("store compacted", "")
			s.store.Compact()
		case 7:
			s.recordFault("configuration", "")
			s.publishConfig()
		case 8:
			s.recordFault("endpoint replaced", "")
			s.endpoints[random.IntN(len(s.endpoints))].replace(s)
		case 9:
			e := s.endpoints[random.IntN(len(s.endpoints))]
			s.recordFault("endpoint fails", e.id())
			e.failFor(duration)
		case 10:
			e := s.endpoints[random.IntN(len(s.endpoints))]
			s.recordFault("endpoint leaves", e.id())
			e.leaveFor(s, 2*duration)
		case 11:
			s.recordFault("endpoints want pauses", "")
			for _, e := range s.endpoints {
				e.pauseFor(duration)
			}
		case 12:
			s.recordFault("reload during a stop", d.name)
			d.reloadLater(duration)
			d.restart(syscall.SIGTERM)
		case 13:
			s.recordFault("store returns from an older copy", "")
			s.store.SetSilent(true)
			<-time.After(duration / 4)
			s.store.Restore(copies.olderThan(2 * duration))
			s.store.SetSilent(false)
			s.writeAgain()
		}
		<-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond)
	}
}
