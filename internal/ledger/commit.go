package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// maxGroupRecords bounds the records and audit entries of one transaction, so that with the position it
	// stays below the store's limit of operations. A settlement writes one of each; the last one of a
	// group may exceed the bound by one.
	maxGroupRecords = 97
	// maxGroupBytes is the size of the responses, in bytes, at which a group takes no more actions.
	maxGroupBytes = 512 << 10
	// maxConcurrentReads bounds the concurrent reads of a group's records.
	maxConcurrentReads = 8
	// outcomeCheckInterval is the time between attempts to determine the outcome of a transaction whose
	// reply was lost.
	outcomeCheckInterval = 200 * time.Millisecond
)

// group is a set of actions that one transaction commits (group commit).
type group struct {
	actions []*action
	// records has the state of the records, by key, after the actions applied so far.
	records map[string]*peer.LedgerRecord
	// changed lists the keys to write or delete, without duplicates.
	changed []string
	// audit has the operators' decisions in the group.
	audit []Settlement
}

// nextGroup removes actions from the queue up to the limits of a group. Actions whose context is done
// are not applied.
func (p *partition) nextGroup() *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := &group{records: map[string]*peer.LedgerRecord{}}
	size, settlements := 0, 0
	for len(p.queue) > 0 && len(g.actions)+settlements < maxGroupRecords && size < maxGroupBytes {
		a := p.queue[0]
		p.queue = p.queue[1:]
		p.queuedBytes -= a.responseBytes()
		if a.ctx.Err() != nil {
			a.sendReply(unavailableReply())
			continue
		}
		size += a.responseBytes()
		if a.req.Action == peer.LedgerRequest_ACTION_SETTLE {
			settlements++
		}
		g.actions = append(g.actions, a)
	}
	return g
}

// loadRecords loads the current records of the group's actions. Actions whose record cannot be read get
// RESULT_UNAVAILABLE and are removed from the group.
func (p *partition) loadRecords(ctx context.Context, g *group) {
	type result struct {
		record *peer.LedgerRecord
		err    error
	}
	results := map[string]*result{}
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentReads)
	for _, a := range g.actions {
		key := recordKey(p.id, a.req.Key)
		if results[key] != nil {
			continue
		}
		r := &result{}
		results[key] = r
		if c, ok := p.cacheGet(key); ok && !c.partial {
			r.record = c.record
			continue
		}
		reads.Go(func() error {
			r.record, r.err = p.read(ctx, key)
			return nil
		})
	}
	reads.Wait()
	var loaded []*action
	for _, a := range g.actions {
		r := results[recordKey(p.id, a.req.Key)]
		if r.err != nil {
			a.sendReply(unavailableReply())
			continue
		}
		loaded = append(loaded, a)
	}
	g.actions = loaded
	for key, r := range results {
		if r.err == nil {
			g.records[key] = r.record
			p.cacheWrite(key, r.record)
		}
	}
}

// apply applies the actions to the records, in order.
func (g *group) apply(partition uint32, now time.Time) {
	changed := map[string]bool{}
	for _, a := range g.actions {
		key := recordKey(partition, a.req.Key)
		a.outcome = applyAction(g.records[key], a.req, now)
		if a.outcome.change == changeNone {
			continue
		}
		if a.req.Action == peer.LedgerRequest_ACTION_SETTLE {
			g.audit = append(g.audit, newSettlement(a.req, g.records[key], now))
		}
		g.records[key] = a.outcome.record
		if !changed[key] {
			changed[key] = true
			g.changed = append(g.changed, key)
		}
	}
}

// sendOutcomes replies to each action with its outcome.
func (g *group) sendOutcomes() {
	for _, a := range g.actions {
		a.sendReply(&peer.LedgerReply{Result: a.outcome.result, Record: a.outcome.record})
	}
}

// sendAll sends the same reply to all actions.
func (g *group) sendAll(r *peer.LedgerReply) {
	for _, a := range g.actions {
		a.sendReply(r)
	}
}

// commitNextGroup commits the next group and replies to its actions. It returns false if the partition
// is lost.
func (p *partition) commitNextGroup(ctx context.Context) bool {
	g := p.nextGroup()
	p.loadRecords(ctx, g)
	now := time.Now()
	g.apply(p.id, now)
	if !p.leaseValid() {
		g.sendAll(p.ledger.notServingReply(p.id))
		return !p.role.Lost()
	}
	if len(g.changed) == 0 {
		g.sendOutcomes()
		return true
	}
	return p.commit(ctx, g)
}

// commit runs the transaction of a group and replies to its actions. A changed key without a record is
// deleted. It returns false if the partition is lost.
func (p *partition) commit(ctx context.Context, g *group) bool {
	txn, next, err := p.groupTxn(g)
	if err != nil {
		// Nothing is written, so nothing may be confirmed.
		p.ledger.Log.Error("ledger record cannot be encoded", "error", err)
		p.ledger.counters.unavailable.Inc(int64(len(g.actions)))
		g.sendAll(unavailableReply())
		return !p.role.Lost()
	}
	p.ledger.counters.transactions.Inc(1)
	// Not cancelled by a stop: without the reply the callers would not learn the outcome.
	reply, err := p.ledger.KV.Txn(context.WithoutCancel(ctx), txn)
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		p.ledger.counters.unavailable.Inc(int64(len(g.actions)))
		g.sendAll(unavailableReply())
		return !p.role.Lost()
	case err != nil:
		p.ledger.counters.lostReplies.Inc(1)
		return p.resolveLostReply(ctx, g, next)
	case !reply.Succeeded:
		g.sendAll(p.notOwnerReply())
		return false
	}
	p.confirm(g, next, reply.Revision)
	return true
}

// groupTxn returns the transaction that writes the changed records, the next position and the audit
// entries, and the next position. The error states which record cannot be encoded.
func (p *partition) groupTxn(g *group) (platform.Txn, position, error) {
	next := p.position
	next.number++
	txn := p.positionTxn(&next, g.audit)
	for _, key := range g.changed {
		record := g.records[key]
		if record == nil {
			txn.Then = append(txn.Then, platform.Op{Key: key, Delete: true})
			continue
		}
		raw, err := proto.Marshal(record)
		if err != nil {
			return platform.Txn{}, position{}, oops.With("step", "encode ledger record").With("key", key).Wrap(err)
		}
		txn.Then = append(txn.Then, platform.Op{Key: key, Value: raw})
	}
	return txn, next, nil
}

// positionTxn returns a transaction that writes the next position and the audit entries, after adding the
// entries to next.settlements. It succeeds only while this owner's fencing token is current and the sequence
// key still has the revision p.modRevision.
func (p *partition) positionTxn(next *position, audit []Settlement) platform.Txn {
	var ops []platform.Op
	for _, s := range audit {
		ops = append(ops, platform.Op{Key: auditKey(p.id, next.settlements), Value: s.encode()})
		next.settlements++
	}
	return platform.Txn{
		If: []platform.Compare{
			p.role.Fence(),
			{Key: sequenceKey(p.id), Target: platform.CompareModRevision, Revision: p.modRevision},
		},
		Then: append(ops, platform.Op{Key: sequenceKey(p.id), Value: next.encode()}),
	}
}

// confirm records that a group was committed and replies to its actions. If the lease may have ended,
// the result is RESULT_UNKNOWN, because another owner may have changed the records since.
func (p *partition) confirm(g *group, next position, revision int64) {
	p.position, p.modRevision = next, revision
	p.ledger.counters.records.Inc(int64(len(g.changed)))
	for _, key := range g.changed {
		p.cacheWrite(key, g.records[key])
	}
	if p.leaseValid() {
		g.sendOutcomes()
		return
	}
	p.ledger.counters.unknown.Inc(int64(len(g.actions)))
	g.sendAll(unknownReply())
}

// resolveLostReply determines whether a group was committed although its transaction's reply was lost.
// If the position is unchanged, the transaction may still be applied later. A fencing transaction, which
// only advances the position, prevents that, because the group's transaction is conditional on the old
// position. After callTimeout the callers get RESULT_UNKNOWN. It returns false if the partition is lost.
func (p *partition) resolveLostReply(ctx context.Context, g *group, next position) bool {
	timeout := time.AfterFunc(callTimeout, func() { g.sendAll(unknownReply()) })
	defer timeout.Stop()
	fencePosition := next
	for {
		current, modified, err := p.readPosition(ctx)
		switch {
		case err != nil:
		case modified == p.modRevision:
			fencePosition.number++
			// The fencing transaction writes no audit entries.
			fencePosition.settlements = p.position.settlements
			p.ledger.counters.transactions.Inc(1)
			reply, err := p.ledger.KV.Txn(ctx, p.positionTxn(&fencePosition, nil))
			if err == nil && reply.Succeeded {
				p.position, p.modRevision = fencePosition, reply.Revision
				g.sendAll(unavailableReply())
				return true
			}
		case current == next:
			p.confirm(g, next, modified)
			return true
		case current.token == next.token && current.number > next.number:
			// An earlier fencing transaction, whose reply was lost, was applied first.
			p.position, p.modRevision = current, modified
			g.sendAll(unavailableReply())
			return true
		default:
			// Another owner has written the position.
			g.sendAll(unknownReply())
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(outcomeCheckInterval):
		}
		if ctx.Err() != nil || p.role.Lost() || p.limiter.Wait(ctx) != nil {
			g.sendAll(unknownReply())
			return false
		}
	}
}

// readPosition reads the partition's position and its modification revision, 0 if there is none.
func (p *partition) readPosition(ctx context.Context) (position, int64, error) {
	reply, err := p.ledger.KV.Range(ctx, platform.RangeRequest{Key: sequenceKey(p.id)})
	if err != nil || len(reply.KVs) == 0 {
		return position{}, 0, err
	}
	current, err := decodePosition(reply.KVs[0].Value)
	return current, reply.KVs[0].ModRevision, err
}
