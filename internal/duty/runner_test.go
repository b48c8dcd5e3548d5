package duty

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
)

const (
	testLease = 3 * time.Second
	// takeoverTime is the time within which another daemon acquires the role of one that has disappeared: the lease, the
	// probe interval and some calls to the store.
	takeoverTime = testLease + 2*defaultProbeInterval
	// quietTime is longer than the quiet period at the start of a Runner.
	quietTime = 2 * testLease
)

// controlPlane checks rule ONE for the calls that arrive: tokens belong to one daemon and never decrease, and holders do
// not alternate within a lease.
type controlPlane struct {
	t  *testing.T
	mu sync.Mutex
	// calls are the calls that have arrived, and at their times.
	calls []platform.DutyHolder
	at    []time.Time
}

func (c *controlPlane) accept(h platform.DutyHolder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, earlier := range c.calls {
		if earlier.Token > h.Token {
			c.t.Errorf("token %d of %s after token %d of %s", h.Token, h.Daemon, earlier.Token, earlier.Daemon)
		}
		if earlier.Token == h.Token && earlier.Daemon != h.Daemon {
			c.t.Errorf("token %d of %s and %s", h.Token, h.Daemon, earlier.Daemon)
		}
		if earlier.Daemon != h.Daemon || now.Sub(c.at[i]) > testLease {
			continue
		}
		for _, between := range c.calls[i+1:] {
			if between.Daemon != h.Daemon {
				c.t.Errorf("%s acts, then %s and %s again within %s", h.Daemon, between.Daemon, h.Daemon, now.Sub(c.at[i]))
			}
		}
	}
	c.calls, c.at = append(c.calls, h), append(c.at, now)
}

// since returns the daemons that have made calls since the given time.
func (c *controlPlane) since(start time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	daemons := map[string]int{}
	for i, h := range c.calls {
		if c.at[i].After(start) {
			daemons[h.Daemon]++
		}
	}
	return daemons
}

// caller is a Task that makes a call at each step. A call takes latency until it arrives, as long as its context lives.
type caller struct {
	plane   *controlPlane
	latency atomic.Int64
	firsts  atomic.Int32
	steps   atomic.Int32
}

func (c *caller) Duty() platform.Duty     { return platform.DutyUsage }
func (c *caller) Interval() time.Duration { return 100 * time.Millisecond }

func (c *caller) Step(ctx context.Context, _ time.Time, h Holder, first bool) error {
	c.steps.Add(1)
	if first {
		c.firsts.Add(1)
	}
	return h.Call(ctx, func(ctx context.Context, holder platform.DutyHolder) error {
		if !sleep(ctx, time.Duration(c.latency.Load())) {
			// The bytes that are on the way arrive although the call is canceled.
			time.AfterFunc(settleTime*9/10, func() { c.plane.accept(holder) })
			return platform.ErrOutcomeUnknown
		}
		c.plane.accept(holder)
		return nil
	})
}

// daemon is a Runner with its own connection to the store.
type daemon struct {
	*Runner
	client   *kv.Client
	caller   *caller
	eligible atomic.Bool
	stop     func()
}

// startDaemon starts a Runner. It must be called in a synctest bubble.
func startDaemon(t *testing.T, store *kv.Store, plane *controlPlane, name string) *daemon {
	client := kv.NewClient(store)
	d := &daemon{client: client, caller: &caller{plane: plane}}
	d.caller.latency.Store(int64(5 * time.Millisecond))
	d.eligible.Store(true)
	d.Runner = NewRunner(Options{
		KV: client, Daemon: name, Lease: testLease, Eligible: d.eligible.Load, ProbeInterval: func() time.Duration { return checkInterval }, Tasks: []Task{d.caller},
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	d.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(func() {
		d.stop()
		time.Sleep(time.Minute) // delayed calls of the test end within this time
	})
	return d
}

// only checks that exactly the given daemon has made calls since start.
func only(t *testing.T, plane *controlPlane, start time.Time, name string) {
	t.Helper()
	if got := plane.since(start); len(got) != 1 || got[name] == 0 {
		t.Errorf("calls since %s: %v, want only those of %s", time.Since(start), got, name)
	}
}

// TestDutOneHolder guards against two daemons that make the calls of a duty, and against a holder that loses the role
// although nothing fails.
func TestDutOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		start := time.Now()
		b := startDaemon(t, store, plane, "b")
		time.Sleep(time.Minute)
		only(t, plane, start, "a")
		if a.caller.firsts.Load() != 1 || b.caller.steps.Load() != 0 || !a.Holds() || b.Holds() {
			t.Errorf("a began %d terms, b made %d steps, a holds %v, b holds %v", a.caller.firsts.Load(), b.caller.steps.Load(), a.Holds(), b.Holds())
		}
		if n := a.client.Counters(); n.KeepAlives > 68 || n.Txns != 1 || n.Grants != 1 || n.Ranges != 1 {
			t.Errorf("calls of the holder in 66 s: %+v, want one renewal a second", n)
		}
	})
}

// TestDutTakeoverAfterStop guards against a stopping daemon that keeps the role until its lease expires, and against a
// call of it that arrives after the first one of its successor.
func TestDutTakeoverAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		startDaemon(t, store, plane, "b")
		time.Sleep(quietTime)
		a.caller.latency.Store(int64(time.Hour))
		time.Sleep(time.Second)
		a.stop()
		start := time.Now()
		time.Sleep(2 * defaultProbeInterval)
		only(t, plane, start, "b")
		startDaemon(t, store, plane, "a")
		time.Sleep(time.Minute)
		only(t, plane, start, "b")
	})
}

// TestDutNotCandidate guards against a holder that keeps the role when it is no longer a candidate, and against one that
// gives it up for a moment's doubt.
func TestDutNotCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		startDaemon(t, store, plane, "b")
		time.Sleep(quietTime)
		a.eligible.Store(false)
		time.Sleep(ineligibleGrace / 2)
		a.eligible.Store(true)
		time.Sleep(quietTime)
		if a.caller.firsts.Load() != 1 {
			t.Errorf("a began %d terms, want 1", a.caller.firsts.Load())
		}
		a.eligible.Store(false)
		time.Sleep(ineligibleGrace + takeoverTime)
		a.eligible.Store(true)
		start := time.Now()
		time.Sleep(time.Minute)
		only(t, plane, start, "b")
	})
}

// TestDutStoreLost guards against calls of a holder that cannot renew its lease, against a successor that waits longer
// than the lease, and against a former holder that acts again within the lease of its successor.
func TestDutStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		b := startDaemon(t, store, plane, "b")
		time.Sleep(quietTime)
		a.client.SetHang(true)
		time.Sleep(takeoverTime)
		if a.Holds() || !b.Holds() {
			t.Errorf("a holds %v, b holds %v", a.Holds(), b.Holds())
		}
		a.client.SetHang(false)
		b.stop()
		time.Sleep(quietTime)
		if !a.Holds() || a.caller.firsts.Load() != 2 {
			t.Errorf("a holds %v in its term %d, want its second one", a.Holds(), a.caller.firsts.Load())
		}
	})
}

// TestDutOutage guards against duties that are not suspended while the store is down, and against ones that are not
// resumed within seconds after it.
func TestDutOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a, b := startDaemon(t, store, plane, "a"), startDaemon(t, store, plane, "b")
		time.Sleep(quietTime)
		for _, outage := range []time.Duration{time.Second, 20 * time.Second} {
			a.client.SetDown(true)
			b.client.SetDown(true)
			time.Sleep(testLease)
			start := time.Now()
			time.Sleep(outage)
			if calls := plane.since(start); len(calls) != 0 {
				t.Errorf("calls during an outage of the store: %v", calls)
			}
			a.client.SetDown(false)
			b.client.SetDown(false)
			time.Sleep(quietTime)
			if !a.Holds() && !b.Holds() {
				t.Errorf("nobody holds the role %s after an outage of %s", quietTime, outage)
			}
		}
	})
}

// TestDutRenewalLate guards against a second term, or a loss of the role, when a renewal is answered late but within the
// lease.
func TestDutRenewalLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		a.client.SetReplyDelay(testLease / 3)
		start := time.Now()
		time.Sleep(time.Minute)
		only(t, plane, start, "a")
		if a.caller.firsts.Load() != 1 {
			t.Errorf("a began %d terms, want 1", a.caller.firsts.Load())
		}
	})
}

// TestDutTakeoverReplyLost guards against an acquisition without a reply that blocks the role, and against two daemons
// that use its token.
func TestDutTakeoverReplyLost(t *testing.T) {
	for _, c := range []struct {
		desc  string
		fault kv.Fault
	}{
		{"reply lost", kv.Fault{DropReply: true}},
		{"request lost", kv.Fault{DropRequest: true}},
		{"applied late", kv.Fault{RequestDelay: 2 * testLease}},
		{"answered late", kv.Fault{ReplyDelay: 2 * testLease}},
	} {
		for write := 1; write <= 2; write++ {
			t.Run(c.desc, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, plane := kv.NewStore(), &controlPlane{t: t}
					a, b := startDaemon(t, store, plane, "a"), startDaemon(t, store, plane, "b")
					a.client.InjectWriteFault(write, c.fault)
					b.client.InjectWriteFault(write, c.fault)
					time.Sleep(4*testLease + takeoverTime)
					if !a.Holds() && !b.Holds() {
						t.Error("nobody holds the role")
					}
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// TestDutCallWithinLease guards against a call that runs when the lease is no longer valid, and against a call whose
// context outlasts the lease.
func TestDutCallWithinLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plane := kv.NewStore(), &controlPlane{t: t}
		a := startDaemon(t, store, plane, "a")
		time.Sleep(quietTime)
		a.mu.Lock()
		holder := a.current
		a.mu.Unlock()
		a.client.SetHang(true)
		time.Sleep(testLease / 10) // a renewal that the store has received is answered
		until := holder.role.ValidUntil()
		err := holder.Call(t.Context(), func(ctx context.Context, _ platform.DutyHolder) error {
			if deadline, ok := ctx.Deadline(); !ok || deadline.After(until) {
				t.Errorf("deadline %s, the lease is valid until %s", deadline, until)
			}
			<-ctx.Done()
			return platform.ErrOutcomeUnknown
		})
		if !errors.Is(err, platform.ErrOutcomeUnknown) || time.Now().After(until) {
			t.Errorf("the call ended %s after the lease with %v", time.Since(until), err)
		}
		err = holder.Call(t.Context(), func(context.Context, platform.DutyHolder) error {
			t.Error("a call is made without the role")
			return nil
		})
		if !errors.Is(err, ErrNotHolder) {
			t.Errorf("call without the role: %v", err)
		}
	})
}

// TestDutReturnFromOlderCopy guards against two daemons that act at a time after the store has come back from a copy without
// the key of the holder, which goes on until it fails to renew its lease, and against lower tokens.
func TestDutReturnFromOlderCopy(t *testing.T) {
	for _, c := range []struct {
		desc string
		// copyAt is when the copy is taken, after the start of the daemons, and away how long the store does not reply.
		copyAt, away time.Duration
		// handover makes another daemon the holder after the copy was taken.
		handover bool
	}{
		{desc: "the copy is from before the first holder", away: time.Second},
		{desc: "the store is not away", away: 0},
		{desc: "the copy has the key of the holder", copyAt: 3 * quietTime, away: time.Second},
		{desc: "the copy has the key of an earlier holder", copyAt: 3 * quietTime, away: 500 * time.Millisecond, handover: true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, plane := kv.NewStore(), &controlPlane{t: t}
				var daemons []*daemon
				for _, name := range []string{"a", "b", "c"} {
					daemons = append(daemons, startDaemon(t, store, plane, name))
				}
				time.Sleep(c.copyAt)
				older := store.Snapshot()
				time.Sleep(2 * quietTime)
				if c.handover {
					for _, d := range daemons {
						d.eligible.Store(!d.Holds())
					}
					time.Sleep(takeoverTime)
				}
				for _, d := range daemons {
					d.client.SetDown(c.away > 0)
					d.eligible.Store(true)
				}
				time.Sleep(c.away)
				store.Restore(older)
				back := time.Now()
				for _, d := range daemons {
					d.client.SetDown(false)
				}
				for time.Since(back) < takeoverTime+quietTime {
					time.Sleep(5 * time.Millisecond)
					var holders []string
					for _, d := range daemons {
						if d.Holds() {
							holders = append(holders, d.o.Daemon)
						}
					}
					if len(holders) > 1 {
						t.Fatalf("%s after the return: %v hold the role", time.Since(back), holders)
					}
				}
				if len(plane.since(time.Now().Add(-time.Second))) != 1 {
					t.Errorf("nobody acts %s after the return", time.Since(back))
				}
			})
		})
	}
}
