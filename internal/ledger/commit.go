package ledger

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// maxGroup is the number of records in one transaction. With the position and the audit entry of
	// a settlement for each of them it stays below the service's limit of operations.
	maxGroup = 97
	// maxGroupBytes bounds the responses in one transaction.
	maxGroupBytes = 512 << 10
	// parallelReads bounds the records of a group that are read at the same time.
	parallelReads = 8
	// settlePause is the time between tries to settle a lost reply.
	settlePause = 200 * time.Millisecond
)

// group is a set of actions that one transaction makes durable.
type group struct {
	actions []*action
	// view has the records as they are after the actions so far.
	view map[string]*peer.LedgerRecord
	// changed lists the keys to write, without repetition.
	changed []string
	// audit has the operators' decisions in the group.
	audit []Settlement
}

// nextGroup takes actions from the queue whose callers still wait.
func (p *partition) nextGroup() *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := &group{view: map[string]*peer.LedgerRecord{}}
	size, settlements := 0, 0
	for len(p.queue) > 0 && len(g.actions)+settlements < maxGroup && size < maxGroupBytes {
		a := p.queue[0]
		p.queue = p.queue[1:]
		p.queuedBytes -= a.size()
		if a.ctx.Err() != nil {
			a.answer(unavailable())
			continue
		}
		size += a.size()
		if a.req.Action == peer.LedgerRequest_ACTION_SETTLE {
			settlements++
		}
		g.actions = append(g.actions, a)
	}
	return g
}

// resolve fills the view with the present records. Actions whose record cannot be read are refused.
func (p *partition) resolve(ctx context.Context, g *group) {
	type result struct {
		record *peer.LedgerRecord
		err    error
	}
	results := map[string]*result{}
	var reads errgroup.Group
	reads.SetLimit(parallelReads)
	for _, a := range g.actions {
		key := recordKey(p.id, a.req.Key)
		if results[key] != nil {
			continue
		}
		r := &result{}
		results[key] = r
		if c, ok := p.cached(key); ok && !c.partial {
			r.record = c.record
			continue
		}
		reads.Go(func() error {
			r.record, r.err = p.read(ctx, key)
			return nil
		})
	}
	reads.Wait()
	var resolved []*action
	for _, a := range g.actions {
		r := results[recordKey(p.id, a.req.Key)]
		if r.err != nil {
			a.answer(unavailable())
			continue
		}
		resolved = append(resolved, a)
	}
	g.actions = resolved
	for key, r := range results {
		if r.err == nil {
			g.view[key] = r.record
			p.store(key, r.record)
		}
	}
}

// decide applies the actions in order to the view.
func (g *group) decide(partition uint32, now time.Time) {
	changed := map[string]bool{}
	for _, a := range g.actions {
		key := recordKey(partition, a.req.Key)
		a.decided = decide(g.view[key], a.req, now)
		if a.decided.change == changeNone {
			continue
		}
		if a.req.Action == peer.LedgerRequest_ACTION_SETTLE {
			g.audit = append(g.audit, newSettlement(a.req, g.view[key], now))
		}
		g.view[key] = a.decided.record
		if !changed[key] {
			changed[key] = true
			g.changed = append(g.changed, key)
		}
	}
}

// answer replies to all actions with what was decided.
func (g *group) answer() {
	for _, a := range g.actions {
		a.answer(&peer.LedgerReply{Result: a.decided.result, Record: a.decided.record})
	}
}

// refuse replies to all actions with the same result.
func (g *group) refuse(r *peer.LedgerReply) {
	for _, a := range g.actions {
		a.answer(r)
	}
}

// writeGroup makes the next group durable and answers it. It returns false when the partition is lost.
func (p *partition) writeGroup(ctx context.Context) bool {
	g := p.nextGroup()
	p.resolve(ctx, g)
	now := time.Now()
	g.decide(p.id, now)
	if !p.valid() {
		g.refuse(p.ledger.refusal(p.id))
		return !p.holder.Lost()
	}
	if len(g.changed) == 0 {
		g.answer()
		return true
	}
	return p.write(ctx, g)
}

// write runs the transaction of a group to its end. It returns false when the partition is lost.
func (p *partition) write(ctx context.Context, g *group) bool {
	txn, next := p.transaction(g)
	p.ledger.counters.transactions.Inc(1)
	// A stop waits for the reply: without it the callers would not know the outcome.
	reply, err := p.ledger.KV.Txn(context.WithoutCancel(ctx), txn)
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		p.ledger.counters.unavailable.Inc(int64(len(g.actions)))
		g.refuse(unavailable())
		return !p.holder.Lost()
	case err != nil:
		p.ledger.counters.lostReplies.Inc(1)
		return p.settleGroup(ctx, g, next)
	case !reply.Succeeded:
		g.refuse(p.notOwner())
		return false
	}
	p.applied(g, next, reply.Revision)
	return true
}

// transaction writes the changed records, the next position and the audit entries.
func (p *partition) transaction(g *group) (platform.Txn, position) {
	next := p.position
	next.number++
	txn := p.advance(&next, g.audit)
	for _, key := range g.changed {
		record := g.view[key]
		if record == nil {
			txn.Then = append(txn.Then, platform.Op{Key: key, Delete: true})
			continue
		}
		raw, err := proto.Marshal(record)
		if err != nil {
			p.ledger.Log.Error("ledger record cannot be encoded", "key", key, "error", err)
			continue
		}
		txn.Then = append(txn.Then, platform.Op{Key: key, Value: raw})
	}
	return txn, next
}

// advance returns a transaction that moves the partition to the next position. It has an effect
// only while this owner's token is current and nothing was written since the present position.
func (p *partition) advance(next *position, audit []Settlement) platform.Txn {
	var ops []platform.Op
	for _, s := range audit {
		ops = append(ops, platform.Op{Key: auditKey(p.id, next.settlements), Value: s.encode()})
		next.settlements++
	}
	return platform.Txn{
		If: []platform.Compare{
			p.holder.Fence(),
			{Key: sequenceKey(p.id), Target: platform.CompareModRevision, Revision: p.modified},
		},
		Then: append(ops, platform.Op{Key: sequenceKey(p.id), Value: next.encode()}),
	}
}

// applied takes over a group that is durable and confirms it. An owner whose lease may have ended
// confirms nothing: another owner may have changed the records since.
func (p *partition) applied(g *group, next position, revision int64) {
	p.position, p.modified = next, revision
	p.ledger.counters.records.Inc(int64(len(g.changed)))
	for _, key := range g.changed {
		p.store(key, g.view[key])
	}
	if p.valid() {
		g.answer()
		return
	}
	p.ledger.counters.unknown.Inc(int64(len(g.actions)))
	g.refuse(unknown())
}

// settleGroup finds out whether a group took effect whose reply was lost. When it has not yet, a
// transaction that only moves the position makes sure that it never will. The callers wait for
// callTimeout at most. It returns false when the partition is lost.
func (p *partition) settleGroup(ctx context.Context, g *group, next position) bool {
	late := time.AfterFunc(callTimeout, func() { g.refuse(unknown()) })
	defer late.Stop()
	fence := next
	for {
		current, modified, err := p.readPosition(ctx)
		switch {
		case err != nil:
		case modified == p.modified:
			fence.number++
			fence.settlements = p.position.settlements
			p.ledger.counters.transactions.Inc(1)
			reply, err := p.ledger.KV.Txn(ctx, p.advance(&fence, nil))
			if err == nil && reply.Succeeded {
				p.position, p.modified = fence, reply.Revision
				g.refuse(unavailable())
				return true
			}
		case current == next:
			p.applied(g, next, modified)
			return true
		case current.token == next.token && current.number > next.number:
			// An earlier fencing write whose reply was lost came first.
			p.position, p.modified = current, modified
			g.refuse(unavailable())
			return true
		default:
			g.refuse(unknown())
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePause):
		}
		if ctx.Err() != nil || p.holder.Lost() || p.limiter.Wait(ctx) != nil {
			g.refuse(unknown())
			return false
		}
	}
}

// readPosition reads the partition's position and its modification revision.
func (p *partition) readPosition(ctx context.Context) (position, int64, error) {
	reply, err := p.ledger.KV.Range(ctx, platform.RangeRequest{Key: sequenceKey(p.id)})
	if err != nil || len(reply.KVs) == 0 {
		return position{}, 0, err
	}
	current, err := decodePosition(reply.KVs[0].Value)
	return current, reply.KVs[0].ModRevision, err
}
