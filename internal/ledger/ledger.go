// Package ledger keeps at-most-once records of non-idempotent requests in the key-value service.
//
// Records are grouped into partitions. The owner of a partition holds a lease and is its only
// writer: each of its transactions is conditional on its fencing token and on the position that
// its previous transaction wrote. Entry daemons call the owner through Ledger.Do.
//
// Lock order: Ledger.mu, then partition.mu. No lock is held during calls to the service or peers.
package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/lease"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// DefaultRetention is how long records are kept.
	DefaultRetention = 7 * 24 * time.Hour
	// DefaultLeaseTTL is the time to live of an owner's lease.
	DefaultLeaseTTL = 10 * time.Second
	// reconcileInterval is the time between looks at the ownership of partitions.
	reconcileInterval = time.Second
	// parallelAcquisitions bounds the partitions taken at the same time.
	parallelAcquisitions = 8
	// stopTimeout bounds the release of partitions when the daemon stops.
	stopTimeout = 3 * time.Second
)

// Options are what a Ledger needs from the daemon.
type Options struct {
	KV      platform.KV
	Members cluster.Members
	Peers   cluster.Peers
	Log     hclog.Logger
	Metrics metrics.Registry
	// Retention is how long records are kept. Default DefaultRetention.
	Retention time.Duration
	// LeaseTTL is the time to live of the owner's lease. Default DefaultLeaseTTL.
	LeaseTTL time.Duration
}

// Ledger is one daemon's part of the ledger: the entry daemon's side and the partitions it owns.
type Ledger struct {
	Options
	session  *lease.Session
	counters counters
	wake     chan struct{}

	// unreachable says that the key-value service did not answer when partitions were to be taken.
	unreachable atomic.Bool

	mu sync.Mutex
	// owned has the partitions whose lease this daemon holds.
	owned map[uint32]*partition
	// abandoned has the begins whose outcome stayed unknown, by request.
	abandoned map[string]abandonedBegin
}

var _ dispatch.Ledger = (*Ledger)(nil)

// counters are the ledger's metrics.
type counters struct {
	transactions, records, lostReplies metrics.Counter
	unknown, unavailable, lost, swept  metrics.Counter
	partitions                         metrics.Gauge
}

// New returns a ledger that owns no partition. Run must be called for it to take any.
func New(o Options) *Ledger {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = DefaultLeaseTTL
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("ledger."+name, o.Metrics) }
	l := &Ledger{
		Options: o,
		session: lease.New(o.KV, o.Members.Self().Id, o.LeaseTTL, o.Log),
		wake:    make(chan struct{}, 1),
		owned:   map[uint32]*partition{}, abandoned: map[string]abandonedBegin{},
		counters: counters{
			transactions: counter("transactions"), records: counter("records_written"),
			lostReplies: counter("lost_replies"), unknown: counter("results_unknown"),
			unavailable: counter("results_unavailable"), lost: counter("partitions_lost"),
			swept:      counter("records_swept"),
			partitions: metrics.GetOrRegisterGauge("ledger.partitions", o.Metrics),
		},
	}
	o.Members.Subscribe(l.signal)
	return l
}

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run takes and gives up partitions as the members change, until ctx ends; then it releases all.
func (l *Ledger) Run(ctx context.Context) error {
	var background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	background.Go(func() { l.session.Run(backgroundCtx) })
	background.Go(func() { l.abortAbandoned(backgroundCtx) })
	defer background.Wait()
	defer stopBackground()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	wanted := l.wanted()
	for ctx.Err() == nil {
		l.reconcile(ctx, wanted)
		select {
		case <-ctx.Done():
		case <-l.wake:
			wanted = l.wanted()
		case <-ticker.C:
		}
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, p := range l.leave(partitionSet{}) {
		p.stop()
	}
	// The end of the lease frees all partitions at once.
	return l.session.Close(stopCtx)
}

// partitionSet says for each partition whether it is in the set.
type partitionSet [Partitions]bool

// wanted returns the partitions that belong to this daemon by its view of the members.
func (l *Ledger) wanted() partitionSet {
	var set partitionSet
	for id := range uint32(Partitions) {
		set[id] = cluster.IsOwner(l.Members, role(id))
	}
	return set
}

// reconcile gives up partitions that belong to other daemons, then takes those that belong here.
func (l *Ledger) reconcile(ctx context.Context, wanted partitionSet) {
	if !l.Members.Trusted() {
		wanted = partitionSet{}
	}
	l.giveUp(ctx, wanted)
	var missing []uint32
	l.mu.Lock()
	for id := range uint32(Partitions) {
		if l.owned[id] == nil && wanted[id] {
			missing = append(missing, id)
		}
	}
	l.mu.Unlock()
	if len(missing) > 0 {
		l.take(ctx, missing)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.partitions.Update(int64(len(l.owned)))
}

// leave removes the partitions that are lost or not wanted from the owned ones.
func (l *Ledger) leave(wanted partitionSet) []*partition {
	var leaving []*partition
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.owned {
		if !wanted[id] || p.ended() {
			delete(l.owned, id)
			leaving = append(leaving, p)
		}
	}
	return leaving
}

// giveUp stops and releases the partitions that are lost or not wanted.
func (l *Ledger) giveUp(ctx context.Context, wanted partitionSet) {
	var group errgroup.Group
	group.SetLimit(parallelAcquisitions)
	for _, p := range l.leave(wanted) {
		group.Go(func() error {
			p.stop()
			if err := p.holder.Release(ctx); err != nil {
				l.Log.Debug("ledger partition not released", "partition", p.id, "error", err)
			}
			return nil
		})
	}
	group.Wait()
}

// take acquires the free ones of the given partitions.
func (l *Ledger) take(ctx context.Context, ids []uint32) {
	reply, err := l.KV.Range(ctx, platform.RangeRequest{Key: lease.Key(rolePrefix), Prefix: true})
	l.unreachable.Store(err != nil)
	if err != nil {
		return
	}
	held := map[string]bool{}
	for _, kv := range reply.KVs {
		held[kv.Key] = true
	}
	var group errgroup.Group
	group.SetLimit(parallelAcquisitions)
	for _, id := range ids {
		// A key left by this daemon's own lost reply is released by its session.
		if held[lease.Key(role(id))] {
			continue
		}
		group.Go(func() error {
			l.acquire(ctx, id)
			return nil
		})
	}
	group.Wait()
}

func (l *Ledger) acquire(ctx context.Context, id uint32) {
	h, err := l.session.Acquire(ctx, role(id))
	if err != nil {
		l.Log.Debug("ledger partition not acquired", "partition", id, "error", err)
		return
	}
	p, err := newPartition(ctx, l, id, h)
	if err != nil {
		l.Log.Debug("ledger partition not read", "partition", id, "error", err)
		h.Release(ctx)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owned[id] = p
}

// Serve answers a call of an entry daemon for a partition that this daemon owns.
func (l *Ledger) Serve(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	id := PartitionOf(req.Key)
	l.mu.Lock()
	p := l.owned[id]
	l.mu.Unlock()
	switch {
	case !l.Members.Trusted():
		return l.notOwner(id), nil
	case p == nil && l.unreachable.Load():
		return l.refusal(id), nil
	case p == nil:
		return l.notOwner(id), nil
	}
	if req.Action == peer.LedgerRequest_ACTION_LOOKUP {
		return p.lookup(ctx, req)
	}
	return p.submit(ctx, req)
}

// refusal answers for a partition that this daemon cannot prove to own: when it is the daemon that
// should own it, there is no other to ask.
func (l *Ledger) refusal(id uint32) *peer.LedgerReply {
	if cluster.IsOwner(l.Members, role(id)) {
		return unavailable()
	}
	return l.notOwner(id)
}

// notOwner names the daemon that should own the partition.
func (l *Ledger) notOwner(id uint32) *peer.LedgerReply {
	reply := &peer.LedgerReply{Result: peer.LedgerReply_RESULT_NOT_OWNER}
	for _, m := range l.Members.Owners(role(id), 1) {
		reply.Owner = m.Id
	}
	return reply
}
