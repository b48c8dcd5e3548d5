package usage

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/duty"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/platform/managed/standin"
)

const testLease = 3 * time.Second

// network is a fleet in virtual time: daemons that count requests, send each other reports and hold the duty.
type network struct {
	t       *testing.T
	store   *kv.Store
	checker *standin.DutyChecker

	mu      sync.Mutex
	daemons []*testDaemon
	// last is the last holder before the store came back from an older copy.
	last *testDaemon
	// actual has the requests of each window and workspace.
	actual map[int64]map[string]int
	// reportLoss is the share of reports that are lost.
	reportLoss float64
	// planeDown makes all calls to the control plane fail, and replyLoss is the share of accepted calls without a reply.
	planeDown bool
	replyLoss float64
	random    *rand.Rand
}

// testDaemon is one process of a daemon.
type testDaemon struct {
	n         *network
	name      string
	ledger    *Ledger
	decisions *Decisions
	client    *kv.Client
	runner    *duty.Runner
	cut       bool
	// kill ends the process without a graceful stop; stop ends it gracefully.
	kill, stop func()
}

func newNetwork(t *testing.T) *network {
	return &network{
		t: t, store: kv.NewStore(), checker: &standin.DutyChecker{Lease: testLease}, actual: map[int64]map[string]int{},
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

func (n *network) locked(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// Duties implements platform.ControlPlane.
func (n *network) Duties() []platform.Duty { return []platform.Duty{platform.DutyUsage} }

// Scale implements platform.ControlPlane.
func (n *network) Scale(context.Context, platform.DutyHolder, platform.ScaleOrder) error { return nil }

// ReportUsage implements platform.ControlPlane.
func (n *network) ReportUsage(ctx context.Context, h platform.DutyHolder, r platform.UsageReport) error {
	select {
	case <-ctx.Done():
		return platform.ErrNotApplied
	case <-time.After(5 * time.Millisecond):
	}
	n.mu.Lock()
	down, lost := n.planeDown, n.random.Float64() < n.replyLoss
	n.mu.Unlock()
	if down {
		return platform.ErrOutcomeUnknown
	}
	n.checker.Accept(standin.DutyCall{
		At: time.Now(), Daemon: h.Daemon, Token: h.Token, Subject: "usage", Window: r.Window, Counts: maps.Clone(r.Requests),
	})
	if lost {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

// start starts a process of a daemon. It must be called in a synctest bubble.
func (n *network) start(name string) *testDaemon {
	now := time.Now()
	d := &testDaemon{n: n, name: name, decisions: &Decisions{}, ledger: NewLedger(name, uint64(now.UnixNano()), testLimits, now), client: kv.NewClient(n.store)}
	d.client.SetTimeout(700 * time.Millisecond)
	registry := metrics.NewRegistry()
	task := NewTask(TaskOptions{Ledger: d.ledger, Decisions: d.decisions, KV: d.client, Control: n, Log: hclog.NewNullLogger(), Metrics: registry})
	d.runner = duty.NewRunner(duty.Options{
		KV: d.client, Daemon: name, Lease: testLease, Eligible: func() bool { return true }, Tasks: []duty.Task{task},
		Log: hclog.NewNullLogger(), Metrics: registry,
	})
	ctx, cancel := context.WithCancel(n.t.Context())
	var running sync.WaitGroup
	running.Go(func() { d.runner.Run(ctx) })
	running.Go(func() { d.exchange(ctx) })
	running.Go(func() { d.follow(ctx) })
	n.locked(func() { n.daemons = append(n.daemons, d) })
	leave := func() {
		n.locked(func() {
			for i, other := range n.daemons {
				if other == d {
					n.daemons = append(n.daemons[:i:i], n.daemons[i+1:]...)
					break
				}
			}
		})
	}
	d.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		leave()
	})
	d.kill = func() {
		leave()
		// A process that has ended makes no further calls.
		d.client.SetHang(true)
		d.stop()
	}
	n.t.Cleanup(func() {
		d.stop()
		time.Sleep(time.Minute)
	})
	return d
}

// exchange counts requests and sends reports, as the daemons of a small fleet do.
func (d *testDaemon) exchange(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(20 * time.Millisecond)
		workspace := fmt.Sprint("w", i%7)
		now := time.Now()
		d.n.mu.Lock()
		k := d.ledger.WindowAt(now)
		if d.n.actual[k] == nil {
			d.n.actual[k] = map[string]int{}
		}
		d.n.actual[k][workspace]++
		d.ledger.Count(now, workspace)
		var receivers []*testDaemon
		if i%4 == 0 && !d.cut {
			for _, other := range d.n.daemons {
				if other != d && !other.cut && d.n.random.Float64() >= d.n.reportLoss {
					receivers = append(receivers, other)
				}
			}
		}
		d.n.mu.Unlock()
		if i%4 == 0 {
			r := &peer.Report{Daemon: d.name, Incarnation: d.ledger.self.incarnation}
			d.ledger.FillReport(now, r)
			for _, other := range receivers {
				other.ledger.HandleReport(now, r)
			}
		}
	}
}

// follow watches the key of the decisions as a relay does, and restores them when the store has come back from an older copy.
func (d *testDaemon) follow(ctx context.Context) {
	revision := int64(0)
	for ; ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		reply, err := d.client.Range(ctx, platform.RangeRequest{Key: Key})
		if err != nil {
			continue
		}
		d.observe(reply.KVs)
		for returned := platform.EraOf(reply.Revision) > platform.EraOf(revision); returned && ctx.Err() == nil; sleep(ctx, 500*time.Millisecond) {
			_, err := d.decisions.Restore(ctx, d.client)
			returned = err != nil
		}
		revision = reply.Revision
		replies, err := d.client.Watch(ctx, Key, revision+1)
		if err != nil {
			continue
		}
		for reply := range replies {
			for _, e := range reply.Events {
				d.observe([]platform.KeyValue{e.KV})
			}
			revision = max(revision, reply.Revision)
		}
	}
}

func (d *testDaemon) observe(kvs []platform.KeyValue) {
	for _, kv := range kvs {
		_ = d.decisions.Observe(kv.Value)
	}
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (n *network) holder() *testDaemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.daemons {
		if d.runner.Holds() {
			return d
		}
	}
	return nil
}

// check checks the windows from first to last: that each has been reported, at most late of them after they were due, and
// that its counts are within tolerance of the actual ones; and that rule ONE holds for all calls.
func (n *network) check(first, last int64, late int, tolerance float64) {
	n.t.Helper()
	for _, v := range n.checker.Violations() {
		n.t.Error(v)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	windows, lateOnes := n.checker.Windows(), 0
	for k := first; k <= last; k++ {
		w, ok := windows[k]
		if !ok {
			n.t.Errorf("window %d is not reported", k)
			continue
		}
		if w.At.After(time.Unix(0, (k+1)*int64(testWindow)).Add(testDue)) {
			lateOnes++
		}
		for workspace, want := range n.actual[k] {
			if got := w.Counts[workspace]; float64(got) < float64(want)*(1-tolerance) || float64(got) > float64(want)*(1+tolerance) {
				n.t.Errorf("window %d, %s: %d requests reported, %d actual", k, workspace, got, want)
			}
		}
		if len(w.Counts) > len(n.actual[k]) {
			n.t.Errorf("window %d: %v reported, %v actual", k, w.Counts, n.actual[k])
		}
	}
	if lateOnes > late {
		n.t.Errorf("%d windows are late, want at most %d", lateOnes, late)
	}
}

// watchStored checks that no write undoes a decision on a window: that the next window never decreases, and that the counts
// of a window never change.
func (n *network) watchStored() {
	ctx, cancel := context.WithCancel(n.t.Context())
	n.t.Cleanup(cancel)
	client := kv.NewClient(n.store)
	go func() {
		last, counts := stored{}, map[int64]map[string]int{}
		for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			reply, err := client.Range(ctx, platform.RangeRequest{Key: Key})
			if err != nil || len(reply.KVs) == 0 {
				continue
			}
			var state stored
			if err := decode(reply.KVs[0].Value, &state); err != nil {
				n.t.Error(err)
			}
			if state.Next < last.Next {
				n.t.Errorf("window %d is undecided again", state.Next)
			}
			last = state
			for _, w := range state.Windows {
				if before, ok := counts[w.Window]; ok && !maps.Equal(before, w.Requests) {
					n.t.Errorf("window %d: stored counts changed from %v to %v", w.Window, before, w.Requests)
				}
				counts[w.Window] = w.Requests
			}
		}
	}()
}

func windowNow() int64 { return time.Now().UnixNano() / int64(testWindow) }

// TestDutUsageEveryWindow guards against windows that are not reported, late or wrong in normal operation, when reports
// and replies are lost, and against more than one write to the store for each window.
func TestDutUsageEveryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.reportLoss, n.replyLoss = 0.05, 0.3
		first := windowNow()
		var clients []*kv.Client
		for _, name := range []string{"a", "b", "c"} {
			clients = append(clients, n.start(name).client)
		}
		time.Sleep(10 * time.Minute)
		n.check(first, windowNow()-3, 0, 0)
		txns, windows := 0, int(windowNow()-first)
		for _, c := range clients {
			txns += c.Counters().Txns
		}
		if txns > windows+2 {
			t.Errorf("%d transactions for %d windows", txns, windows)
		}
	})
}

// TestDutUsageHolderDies guards against windows that are lost, late or reported twice when the holder dies, when it
// restarts under its name, and when it stops.
func TestDutUsageHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.replyLoss = 0.2
		first := windowNow()
		for _, name := range []string{"a", "b", "c"} {
			n.start(name)
		}
		for i := range 12 {
			time.Sleep(time.Duration(11+i) * time.Second * 10 / 9)
			h := n.holder()
			if h == nil {
				t.Fatal("nobody holds the role")
			}
			if i%3 == 2 {
				h.stop()
			} else {
				h.kill()
			}
			time.Sleep(time.Duration(i%2) * 100 * time.Millisecond)
			n.start(h.name)
		}
		time.Sleep(30 * time.Second)
		// A killed process loses what it has counted since its last report, up to 4 requests.
		n.check(first, windowNow()-3, 0, 0.05)
	})
}

// TestDutUsageStoreFaults guards against two reports of a window when writes to the store are lost, answered late or
// applied late, and against windows that are lost during an outage of the store.
func TestDutUsageStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.watchStored()
		first := windowNow()
		for _, name := range []string{"a", "b", "c"} {
			n.start(name)
		}
		faults := []kv.Fault{{DropReply: true}, {DropRequest: true}, {RequestDelay: 3 * time.Second}, {RequestDelay: 6 * time.Second}, {ReplyDelay: 2 * time.Second}}
		for i := range 30 {
			time.Sleep(7 * time.Second)
			if h := n.holder(); h != nil {
				h.client.InjectWriteFault(1, faults[i%len(faults)])
				if i%4 == 3 {
					h.client.InjectWriteFault(2, faults[(i+1)%len(faults)])
				}
				if i%10 == 9 {
					time.Sleep(3 * time.Second)
					h.client.SetHang(true)
					time.Sleep(8 * time.Second)
					h.client.SetHang(false)
				}
			}
		}
		for _, outage := range []time.Duration{2 * time.Second, 40 * time.Second} {
			n.setStoreDown(true)
			time.Sleep(outage)
			n.setStoreDown(false)
			time.Sleep(20 * time.Second)
		}
		n.check(first, windowNow()-3, 10, 0)
	})
}

func (n *network) setStoreDown(down bool) {
	n.locked(func() {
		for _, d := range n.daemons {
			d.client.SetDown(down)
		}
	})
}

// TestDutUsageControlPlaneDown guards against windows that are never reported because they ended during an outage of the
// control plane, also if the holder dies in it.
func TestDutUsageControlPlaneDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		first := windowNow()
		for _, name := range []string{"a", "b", "c"} {
			n.start(name)
		}
		time.Sleep(20 * time.Second)
		n.locked(func() { n.planeDown = true })
		time.Sleep(60 * time.Second)
		n.holder().kill()
		time.Sleep(60 * time.Second)
		n.locked(func() { n.planeDown = false })
		time.Sleep(20 * time.Second)
		n.check(first, windowNow()-3, 30, 0.05)
	})
}

// TestDutUsageHolderCutOff guards against a holder that reports windows without the counts of daemons which it cannot
// hear for some seconds.
func TestDutUsageHolderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		first := windowNow()
		for _, name := range []string{"a", "b", "c"} {
			n.start(name)
		}
		for range 5 {
			time.Sleep(17 * time.Second)
			h := n.holder()
			n.locked(func() { h.cut = true })
			time.Sleep(3 * time.Second)
			n.locked(func() { h.cut = false })
		}
		time.Sleep(20 * time.Second)
		n.check(first, windowNow()-3, 0, 0)
	})
}

// TestDutUsageMalformedValue guards against a value of the store that stops all reports.
func TestDutUsageMalformedValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		if _, err := n.store.Txn(platform.Txn{Then: []platform.Op{{Key: Key, Value: []byte("{")}}}); err != nil {
			t.Fatal(err)
		}
		n.start("a")
		time.Sleep(time.Minute)
		n.check(windowNow()-5, windowNow()-3, 0, 0)
	})
}

// TestDutUsageOlderCopy guards against two different reports of a window, and against windows that are not reported, after the
// store has come back from a copy without the decisions on windows whose reports were accepted.
func TestDutUsageOlderCopy(t *testing.T) {
	for _, c := range []struct {
		desc string
		// age is that of the copy at the return, and away how long the store does not reply before it.
		age, away time.Duration
		// before is called when the copy has been taken, and at just before the return.
		before, at func(n *network)
	}{
		{desc: "nothing else", age: 7 * time.Second, away: time.Second},
		{desc: "older than several windows", age: 23 * time.Second, away: time.Second},
		{desc: "not away", age: 7 * time.Second},
		{desc: "a daemon restarts before it", age: 12 * time.Second, away: time.Second, before: func(n *network) { n.restart(n.other()) }},
		{desc: "the holder restarts before it", age: 12 * time.Second, away: time.Second, before: func(n *network) { n.restart(n.holder()) }},
		{desc: "the holder restarts at the return", age: 7 * time.Second, away: 500 * time.Millisecond, at: func(n *network) {
			n.restart(n.last)
		}},
		{desc: "the holder is cut off from the store at the return", age: 7 * time.Second, away: time.Second, at: func(n *network) {
			n.last.client.SetHang(true)
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				first := windowNow()
				for _, name := range []string{"a", "b", "c"} {
					n.start(name)
				}
				time.Sleep(31 * time.Second)
				for round := range 4 {
					older := n.store.Snapshot()
					taken := time.Now()
					if c.before != nil {
						c.before(n)
					}
					time.Sleep(c.age - c.away - time.Since(taken) + time.Duration(round)*1300*time.Millisecond)
					n.last = n.holder()
					if n.last == nil {
						t.Fatal("nobody holds the role")
					}
					n.setStoreDown(c.away > 0)
					time.Sleep(c.away)
					if c.at != nil {
						c.at(n)
					}
					n.store.Restore(older)
					n.setStoreDown(false)
					time.Sleep(17 * time.Second)
					n.last.client.SetHang(false)
					time.Sleep(20 * time.Second)
				}
				n.check(first, windowNow()-3, 0, 0.05)
			})
		})
	}
}

// other returns a daemon that does not hold the role.
func (n *network) other() *testDaemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.daemons {
		if !d.runner.Holds() {
			return d
		}
	}
	return nil
}

// restart stops a daemon gracefully and starts it again.
func (n *network) restart(d *testDaemon) {
	d.stop()
	n.start(d.name)
}

// TestRestoreDecisions guards against decisions that a store lacks for good after its return from an older copy, and against
// earlier ones that replace later ones.
func TestRestoreDecisions(t *testing.T) {
	ctx, store := t.Context(), kv.NewStore()
	client := kv.NewClient(store)
	with := func(next int64) []byte {
		return encode(stored{Next: next, Windows: []storedWindow{{Window: next - 1}}})
	}
	for _, c := range []struct {
		desc           string
		known, value   []byte
		restored, want bool
	}{
		{desc: "nothing known", value: with(5), want: false},
		{desc: "no value", known: with(7), restored: true, want: true},
		{desc: "earlier value", known: with(7), value: with(5), restored: true, want: true},
		{desc: "same value", known: with(7), value: with(7), want: true},
		{desc: "later value", known: with(7), value: with(9), want: false},
		{desc: "malformed value", known: with(7), value: []byte("{"), restored: true, want: true},
	} {
		op := platform.Op{Key: Key, Value: c.value, Delete: c.value == nil}
		if _, err := store.Txn(platform.Txn{Then: []platform.Op{op}}); err != nil {
			t.Fatal(err)
		}
		d := &Decisions{}
		if c.known != nil {
			if err := d.Observe(c.known); err != nil {
				t.Fatal(err)
			}
		}
		restored, err := d.Restore(ctx, client)
		if err != nil || restored != c.restored {
			t.Errorf("%s: restored %v, %v", c.desc, restored, err)
		}
		reply := store.Range(platform.RangeRequest{Key: Key})
		if got := len(reply.KVs) > 0 && string(reply.KVs[0].Value) == string(c.known); got != c.want {
			t.Errorf("%s: the store has what was known: %v, want %v", c.desc, got, c.want)
		}
	}
}

// TestDutUsageReturnAtAnyMoment guards against two different reports of a window, and against lower tokens, when the store
// comes back from an older copy while a lease is renewed, a duty is handed over or the write of a decision is on its way.
func TestDutUsageReturnAtAnyMoment(t *testing.T) {
	const (
		moments = 25
		// step is no divisor of the window and of the time between renewals, so that the returns fall on all parts of both.
		step = 230 * time.Millisecond
	)
	for _, c := range []struct {
		desc string
		// meanwhile is called 300 ms before the return.
		meanwhile func(n *network)
	}{
		{"renewals and decisions", func(*network) {}},
		{"a hand-over", func(n *network) { go n.restart(n.last) }},
		{"a write on its way", func(n *network) { n.last.client.InjectWriteFault(1, kv.Fault{RequestDelay: 600 * time.Millisecond}) }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				first := windowNow()
				for _, name := range []string{"a", "b", "c"} {
					n.start(name)
				}
				time.Sleep(20 * time.Second)
				for i := range moments {
					older := n.store.Snapshot()
					time.Sleep(6*time.Second + time.Duration(i)*step)
					if n.last = n.holder(); n.last != nil {
						c.meanwhile(n)
					}
					time.Sleep(300 * time.Millisecond)
					n.store.Restore(older)
					time.Sleep(15 * time.Second)
				}
				n.check(first, windowNow()-3, 0, 0.05)
			})
		})
	}
}
