package entrynode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/internal/capacity"
	"github.com/chivewind/chivewind/internal/duty"
	"github.com/chivewind/chivewind/internal/usage"
	"github.com/chivewind/chivewind/platform"
)

const (
	// urgentProbeInterval is the time between two attempts of the first candidate to acquire the role of duties after a
	// change of the candidates, for urgentProbeTime. The former holder may have failed; its lease expires meanwhile.
	urgentProbeInterval = 500 * time.Millisecond
	urgentProbeTime     = 10 * time.Second
	// probeInterval is the time between two attempts of the first candidate otherwise, and of the second one. Those of the
	// third one are half as frequent. Thus they acquire the role only when the first one cannot.
	probeInterval = 4 * time.Second
	// restoreRetryDelay is the time between two attempts to restore the decisions on usage.
	restoreRetryDelay = 500 * time.Millisecond
)

// candidacy decides whether this daemon is a candidate for the role of duties, and how often it tries to acquire it.
type candidacy struct {
	daemon string

	mu         sync.Mutex
	candidates []string
	changedAt  time.Time
}

// rank returns the position of this daemon among the candidates; -1 if it is none.
func (c *candidacy) rank(now time.Time, candidates []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.candidates, candidates) {
		c.candidates, c.changedAt = candidates, now
	}
	return slices.Index(candidates, c.daemon)
}

// eligible reports whether this daemon may hold the role. A daemon that has just started does not acquire it while there
// are candidates that started earlier, because it may lack counts; it keeps the role if it holds it.
func (c *candidacy) eligible(now time.Time, candidates []string, mature int, holds bool) bool {
	rank := c.rank(now, candidates)
	return rank >= 0 && (rank < mature || mature == 0 || holds)
}

// probeInterval returns the time between two attempts to acquire the role.
func (c *candidacy) probeInterval(now time.Time, candidates []string) time.Duration {
	rank := c.rank(now, candidates)
	c.mu.Lock()
	defer c.mu.Unlock()
	if rank == 0 && now.Sub(c.changedAt) < urgentProbeTime {
		return urgentProbeInterval
	}
	return time.Duration(max(rank, 1)) * probeInterval
}

// duties are the duties that this daemon may hold for the fleet. Without any, runner, usage and decisions are nil.
type duties struct {
	runner *duty.Runner
	// usage and decisions are not nil if the deployment reports usage.
	usage     *usage.Ledger
	decisions *usage.Decisions
	// storeReturned receives a value when the store has come back from an older copy.
	storeReturned chan struct{}
	kv            platform.KV
	log           hclog.Logger
	cancel        context.CancelFunc
	ended         chan struct{}
}

// newDuties loads the control plane and creates the tasks of its duties.
func (n *Node) newDuties() (*duties, error) {
	d, s := &duties{storeReturned: make(chan struct{}, 1), kv: n.kv, log: n.log.Named("duties")}, n.settings
	if s.ControlPlane == nil {
		return d, nil
	}
	loaded, err := chivewind.Load(&chivewind.Context{Log: n.log.Named("control_plane"), Metrics: n.metrics}, s.ControlPlane.Use, &s.ControlPlane.With)
	if err != nil {
		return nil, err
	}
	control, ok := loaded.(platform.ControlPlane)
	if !ok {
		return nil, oops.With("module", s.ControlPlane.Use).Errorf("module %s is not a control plane", s.ControlPlane.Use)
	}
	log := d.log
	var tasks []duty.Task
	for _, name := range control.Duties() {
		switch name {
		case platform.DutyUsage:
			now := time.Now()
			d.usage = usage.NewLedger(s.ID, uint64(now.UnixNano()), usage.Limits{Window: s.Duties.UsageWindow.D(), Due: s.Duties.UsageDue.D()}, now)
			d.decisions = &usage.Decisions{}
			tasks = append(tasks, usage.NewTask(usage.TaskOptions{
				Ledger: d.usage, Decisions: d.decisions, KV: n.kv, Control: control, Log: log, Metrics: n.metrics,
			}))
		case platform.DutyScaling:
			input := func(now time.Time) []capacity.Input { return n.server.CapacityInput(now) }
			tasks = append(tasks, newScalingTask(control, input, s.Capacity, log, n.metrics))
		}
	}
	if len(tasks) == 0 {
		return d, nil
	}
	c := &candidacy{daemon: s.ID}
	// A process that started earlier knows the counts of all windows that are not due yet.
	minAge := s.Duties.UsageDue.D() + 2*s.Duties.UsageWindow.D() + s.Duties.Lease.D()
	d.runner = duty.NewRunner(duty.Options{
		KV: n.kv, Daemon: s.ID, Lease: s.Duties.Lease.D(), Tasks: tasks, Log: log, Metrics: n.metrics,
		Eligible: func() bool {
			candidates, mature := n.fleet.DutyCandidates(minAge)
			return c.eligible(time.Now(), candidates, mature, d.runner.Holds()) && !n.fleet.Isolated()
		},
		ProbeInterval: func() time.Duration {
			candidates, _ := n.fleet.DutyCandidates(minAge)
			return c.probeInterval(time.Now(), candidates)
		},
		StoreEra: func() int64 { return platform.EraOf(n.fleet.View().Revision) },
	})
	return d, nil
}

// start begins to apply for the role of duties, if there are any.
func (d *duties) start(ctx context.Context) {
	if d.runner == nil {
		return
	}
	if d.decisions != nil {
		go d.restoreDecisions(ctx)
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.ended = make(chan struct{})
	go func() {
		defer close(d.ended)
		d.runner.Run(ctx)
	}()
}

// observe records a key of the store that is neither the routing table nor an endpoint's nor a daemon's.
func (d *duties) observe(kv platform.KeyValue) {
	if d.decisions == nil || kv.Key != usage.Key {
		return
	}
	if err := d.decisions.Observe(kv.Value); err != nil {
		d.log.Warn("a value of the store was ignored", "key", kv.Key, "error", err)
	}
}

// noteStoreReturned makes restoreDecisions act.
func (d *duties) noteStoreReturned() {
	select {
	case d.storeReturned <- struct{}{}:
	default:
	}
}

// restoreDecisions restores the decisions on usage each time the store has come back from an older copy, until ctx is
// canceled. Every daemon that knows them does so; no daemon decides on further windows within the quiet period that follows.
func (d *duties) restoreDecisions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.storeReturned:
		}
		for ctx.Err() == nil {
			restored, err := d.decisions.Restore(ctx, d.kv)
			if err == nil {
				if restored {
					d.log.Info("decisions on usage were written to the store again")
				}
				break
			}
			d.log.Debug("decisions on usage could not be restored", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(restoreRetryDelay):
			}
		}
	}
}

// stop releases the role and waits until that is done.
func (d *duties) stop() {
	if d.cancel == nil {
		return
	}
	d.cancel()
	<-d.ended
}
