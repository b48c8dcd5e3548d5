// Package ledger records the execution of non-idempotent requests in the key-value store, so that each
// request runs at most once.
//
// Records are grouped into partitions. The owner of a partition holds its lease role and is the only writer:
// each of its transactions is conditional on its fencing token and on the position that its previous
// transaction wrote. Entry daemons call the owner through Ledger.Do.
//
// Ledger.mu and partition.mu are never held together. The mutex of lease.Session may be acquired while
// Ledger.mu is held. No lock is held during calls to the store or to peers.
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
	// DefaultRetention is the default of Options.Retention.
	DefaultRetention = 7 * 24 * time.Hour
	// DefaultLeaseTTL is the default of Options.LeaseTTL.
	DefaultLeaseTTL = 10 * time.Second
	// reconcileInterval is the time between checks of the partition ownership.
	reconcileInterval = time.Second
	// maxConcurrentTransfers bounds the partitions that are acquired or released concurrently.
	maxConcurrentTransfers = 8
	// stopTimeout bounds the revocation of the lease when the daemon stops.
	stopTimeout = 3 * time.Second
)

// Options are the dependencies and settings of a Ledger.
type Options struct {
	KV      platform.KV
	Members cluster.Members
	Peers   cluster.Peers
	Log     hclog.Logger
	Metrics metrics.Registry
	// Retention is the time for which records are kept after their last change. Default DefaultRetention.
	Retention time.Duration
	// LeaseTTL is the time to live of the lease under which partitions are owned. Default DefaultLeaseTTL.
	LeaseTTL time.Duration
}

// Ledger is the ledger component of one daemon: the client that entry daemons use, and the server of
// the partitions that the daemon owns.
type Ledger struct {
	Options
	session  *lease.Session
	counters counters
	wake     chan struct{}

	// storeUnreachable is true if the last read of the partitions' role keys failed. They are read whenever
	// assigned partitions are missing.
	storeUnreachable atomic.Bool

	mu sync.Mutex
	// owned has the partitions whose lease role this daemon has acquired, by partition id. The next reconcile
	// removes those that are lost.
	owned map[uint32]*partition
	// abandoned has the ACTION_BEGIN calls whose outcome is unknown, by requestKey.
	abandoned map[string]abandonedBegin
}

var _ dispatch.Ledger = (*Ledger)(nil)

// counters are the ledger's metrics.
type counters struct {
	transactions, records, lostReplies metrics.Counter
	unknown, unavailable, lost, swept  metrics.Counter
	partitions                         metrics.Gauge
}

// New returns a ledger that owns no partition. Run acquires them.
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

// Run acquires and releases partitions as the membership changes, until ctx is done. Then it stops all
// partitions and revokes the lease.
func (l *Ledger) Run(ctx context.Context) error {
	var background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	background.Go(func() { l.session.Run(backgroundCtx) })
	background.Go(func() { l.abortAbandoned(backgroundCtx) })
	defer background.Wait()
	defer stopBackground()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	assigned := l.assignedPartitions()
	for ctx.Err() == nil {
		l.reconcile(ctx, assigned)
		select {
		case <-ctx.Done():
		case <-l.wake:
			assigned = l.assignedPartitions()
		case <-ticker.C:
		}
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, p := range l.detachUnassigned(partitionSet{}) {
		p.stop()
	}
	// Revoking the lease releases all partitions at once.
	return l.session.Close(stopCtx)
}

// partitionSet is a set of partition ids.
type partitionSet [Partitions]bool

// assignedPartitions returns the partitions that rendezvous hashing assigns to this daemon in its
// membership view.
func (l *Ledger) assignedPartitions() partitionSet {
	var set partitionSet
	for id := range uint32(Partitions) {
		set[id] = cluster.IsOwner(l.Members, role(id))
	}
	return set
}

// reconcile releases the partitions that are lost or assigned to other daemons, then acquires the missing
// ones. While the membership view is not fresh, it releases all.
func (l *Ledger) reconcile(ctx context.Context, assigned partitionSet) {
	if !l.Members.ViewFresh() {
		assigned = partitionSet{}
	}
	l.releaseUnassigned(ctx, assigned)
	var missing []uint32
	l.mu.Lock()
	for id := range uint32(Partitions) {
		if l.owned[id] == nil && assigned[id] {
			missing = append(missing, id)
		}
	}
	l.mu.Unlock()
	if len(missing) > 0 {
		l.acquireFree(ctx, missing)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.partitions.Update(int64(len(l.owned)))
}

// detachUnassigned removes the partitions that are lost or not assigned from l.owned and returns them.
func (l *Ledger) detachUnassigned(assigned partitionSet) []*partition {
	var detached []*partition
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.owned {
		if !assigned[id] || p.isLost() {
			delete(l.owned, id)
			detached = append(detached, p)
		}
	}
	return detached
}

// releaseUnassigned stops and releases the partitions that are lost or not assigned.
func (l *Ledger) releaseUnassigned(ctx context.Context, assigned partitionSet) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentTransfers)
	for _, p := range l.detachUnassigned(assigned) {
		group.Go(func() error {
			p.stop()
			if err := p.role.Release(ctx); err != nil {
				l.Log.Debug("ledger partition not released", "partition", p.id, "error", err)
			}
			return nil
		})
	}
	group.Wait()
}

// acquireFree acquires those of the given partitions that no daemon holds.
func (l *Ledger) acquireFree(ctx context.Context, ids []uint32) {
	reply, err := l.KV.Range(ctx, platform.RangeRequest{Key: lease.Key(rolePrefix), Prefix: true})
	l.storeUnreachable.Store(err != nil)
	if err != nil {
		return
	}
	held := map[string]bool{}
	for _, kv := range reply.KVs {
		held[kv.Key] = true
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentTransfers)
	for _, id := range ids {
		// The holder may be this daemon's own session: a key left by an acquisition or release without a
		// reply. The session deletes such a key in the background.
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
		l.Log.Debug("position of ledger partition not read", "partition", id, "error", err)
		h.Release(ctx)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owned[id] = p
}

// Serve handles a call of an entry daemon. The result is RESULT_NOT_OWNER if this daemon does not own the
// key's partition or if its membership view is not fresh. It is RESULT_UNAVAILABLE if the action was not
// applied and there is no other daemon to ask, for example because the store is unreachable or the
// queue is full. An error means that ctx is done; the action may still be applied.
func (l *Ledger) Serve(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	id := PartitionOf(req.Key)
	l.mu.Lock()
	p := l.owned[id]
	l.mu.Unlock()
	switch {
	case !l.Members.ViewFresh():
		return l.notOwnerReply(id), nil
	case p == nil && l.storeUnreachable.Load():
		return l.notServingReply(id), nil
	case p == nil:
		return l.notOwnerReply(id), nil
	}
	if req.Action == peer.LedgerRequest_ACTION_LOOKUP {
		return p.lookup(ctx, req)
	}
	return p.submit(ctx, req)
}

// notServingReply is the reply for a partition of which this daemon may not be the owner. If the partition
// is assigned to this daemon, there is no other daemon to ask and the result is RESULT_UNAVAILABLE.
func (l *Ledger) notServingReply(id uint32) *peer.LedgerReply {
	if cluster.IsOwner(l.Members, role(id)) {
		return unavailableReply()
	}
	return l.notOwnerReply(id)
}

// notOwnerReply names the daemon to which the partition is assigned.
func (l *Ledger) notOwnerReply(id uint32) *peer.LedgerReply {
	reply := &peer.LedgerReply{Result: peer.LedgerReply_RESULT_NOT_OWNER}
	for _, m := range l.Members.Owners(role(id), 1) {
		reply.Owner = m.Id
	}
	return reply
}
