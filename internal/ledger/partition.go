package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/lease"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

const (
	// txnsPerSecond bounds the transactions of one partition, so that the cluster stays within the
	// capacity of the key-value store.
	txnsPerSecond = 4
	// txnBurst is the number of transactions that an idle partition may run without waiting.
	txnBurst = txnsPerSecond
	// maxQueuedActions bounds the queued actions of one partition.
	maxQueuedActions = 2000
	// maxQueuedBytes is the size of the responses in a partition's queue, in bytes, at which it takes no
	// more actions.
	maxQueuedBytes = 4 << 20
	// maxCachedRecords bounds the records that a partition caches.
	maxCachedRecords = 512
	// maxCachedResponseBytes is the size of the largest response that is cached with its record.
	maxCachedResponseBytes = 256
)

// action is a call that waits in the queue and then for the commit of its group.
type action struct {
	ctx   context.Context
	req   *peer.LedgerRequest
	reply chan *peer.LedgerReply
	// outcome is the result to report once the group is committed.
	outcome outcome
}

// responseBytes returns the size of the response in the action.
func (a *action) responseBytes() int { return len(a.req.GetRecord().GetAnswer()) }

// sendReply sends the first reply; later ones are dropped.
func (a *action) sendReply(r *peer.LedgerReply) {
	select {
	case a.reply <- r:
	default:
	}
}

// cacheEntry is a cached record. A nil record means that the store has none.
type cacheEntry struct {
	record *peer.LedgerRecord
	// partial is true if the response was left out.
	partial bool
}

// pendingRead identifies a read by a lookup, outside the partition's goroutine. Reads of the same key are
// told apart by their pointers.
type pendingRead struct{ key string }

// partition is a partition that this daemon owns. All its writes are done by one goroutine.
type partition struct {
	ledger  *Ledger
	id      uint32
	role    *lease.HeldRole
	limiter *rate.Limiter
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	// position, modRevision and sweepCursor are accessed by the goroutine only.
	position position
	// modRevision is the modification revision of the sequence key, 0 if the key is absent.
	modRevision int64
	// sweepCursor is the last key that the retention sweep has read, "" at the start of a sweep.
	sweepCursor string

	mu    sync.Mutex
	queue []*action
	// queuedBytes is the size of the responses in the queue.
	queuedBytes int
	cache       map[string]cacheEntry
	// pendingReads has the latest pending lookup of each key. A write of the key to the cache removes its
	// entry, so that a stale read does not replace a newer record.
	pendingReads map[string]*pendingRead
	// cacheOrder lists the cached keys, oldest first, for eviction.
	cacheOrder []string
}

// newPartition reads the position and starts the goroutine. Once the role is acquired, no transaction
// of an earlier owner can be applied, so the position read is final.
func newPartition(ctx context.Context, l *Ledger, id uint32, h *lease.HeldRole) (*partition, error) {
	p := &partition{
		ledger: l, id: id, role: h, limiter: rate.NewLimiter(txnsPerSecond, txnBurst),
		done: make(chan struct{}), wake: make(chan struct{}, 1),
		cache: map[string]cacheEntry{}, pendingReads: map[string]*pendingRead{},
	}
	reply, err := l.KV.Range(ctx, platform.RangeRequest{Key: sequenceKey(id)})
	if err != nil {
		return nil, err
	}
	if len(reply.KVs) > 0 {
		p.modRevision = reply.KVs[0].ModRevision
		if p.position, err = decodePosition(reply.KVs[0].Value); err != nil {
			return nil, err
		}
	}
	p.position.token, p.position.number = h.Token(), 0
	ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer close(p.done)
		p.run(ctx)
	}()
	return p, nil
}

// isLost reports whether the goroutine has ended or the role is lost.
func (p *partition) isLost() bool {
	select {
	case <-p.done:
		return true
	default:
		return p.role.Lost()
	}
}

// stop ends the goroutine after its current group and waits for it. If the outcome of that group's
// transaction is not known by then, its callers get RESULT_UNKNOWN.
func (p *partition) stop() {
	p.cancel()
	<-p.done
}

// leaseValid reports whether this daemon may reply for the partition at this moment.
func (p *partition) leaseValid() bool { return p.role.Valid(time.Now()) }

func (p *partition) notOwnerReply() *peer.LedgerReply { return p.ledger.notOwnerReply(p.id) }

func unavailableReply() *peer.LedgerReply {
	return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_UNAVAILABLE}
}

func unknownReply() *peer.LedgerReply {
	return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_UNKNOWN}
}

// lookup replies from the cache or the store.
func (p *partition) lookup(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	key := recordKey(p.id, req.Key)
	c, ok := p.cacheGet(key)
	record := c.record
	if !ok || c.partial {
		read := p.startRead(key)
		var err error
		record, err = p.read(ctx, key)
		p.endRead(read, record, err)
		if err != nil {
			return unavailableReply(), nil
		}
	}
	if !p.leaseValid() {
		return p.ledger.notServingReply(p.id), nil
	}
	o := applyAction(record, req, time.Now())
	return &peer.LedgerReply{Result: o.result, Record: o.record}, nil
}

// read returns a record from the store, nil if there is none.
func (p *partition) read(ctx context.Context, key string) (*peer.LedgerRecord, error) {
	reply, err := p.ledger.KV.Range(ctx, platform.RangeRequest{Key: key})
	if err != nil {
		return nil, oops.With("step", "read ledger record").With("partition", p.id).Wrap(err)
	}
	if len(reply.KVs) == 0 {
		return nil, nil
	}
	return decodeRecord(reply.KVs[0])
}

// submit queues an action and waits for its reply. The action may be applied after ctx is done.
func (p *partition) submit(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	a := &action{ctx: ctx, req: req, reply: make(chan *peer.LedgerReply, 1)}
	p.mu.Lock()
	if len(p.queue) >= maxQueuedActions || p.queuedBytes >= maxQueuedBytes {
		p.mu.Unlock()
		return unavailableReply(), nil
	}
	p.queue = append(p.queue, a)
	p.queuedBytes += a.responseBytes()
	p.mu.Unlock()
	p.signal()
	select {
	case r := <-a.reply:
		return r, nil
	case <-p.done:
		return p.replyAfterStop(a), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// replyAfterStop returns the reply of an action once the goroutine has ended, RESULT_NOT_OWNER if the
// goroutine sent none.
func (p *partition) replyAfterStop(a *action) *peer.LedgerReply {
	select {
	case r := <-a.reply:
		return r
	default:
		return p.notOwnerReply()
	}
}

// run commits groups and sweeps expired records until ctx is done or the partition is lost.
func (p *partition) run(ctx context.Context) {
	defer p.rejectQueue()
	var sweepDue atomic.Bool
	sweepTimer := time.AfterFunc(sweepInterval, func() {
		sweepDue.Store(true)
		p.signal()
	})
	defer sweepTimer.Stop()
	for held := true; held; {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if sweepDue.CompareAndSwap(true, false) {
			held = p.sweepPage(ctx)
			sweepTimer.Reset(p.nextSweepDelay())
		}
		for held && p.hasQueued() {
			if p.limiter.Wait(ctx) != nil {
				return
			}
			held = p.commitNextGroup(ctx)
		}
	}
	p.ledger.counters.lost.Inc(1)
	p.ledger.Log.Warn("ledger partition lost", "partition", p.id, "token", p.role.Token())
	p.ledger.signal()
}

func (p *partition) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// rejectQueue replies RESULT_NOT_OWNER to the queued actions; none of them has been written.
func (p *partition) rejectQueue() {
	p.mu.Lock()
	queue := p.queue
	p.queue = nil
	p.mu.Unlock()
	for _, a := range queue {
		a.sendReply(p.notOwnerReply())
	}
}

func (p *partition) cacheGet(key string) (cacheEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cache[key]
	return c, ok
}

// startRead registers a read by a lookup so that its result can be cached. ACTION_BEGIN mostly follows a
// lookup of the same key; without the cached result it would double the reads of the store.
func (p *partition) startRead(key string) *pendingRead {
	read := &pendingRead{key: key}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingReads[key] = read
	return read
}

// endRead caches the result of a lookup unless the goroutine has written the key to the cache since.
func (p *partition) endRead(read *pendingRead, r *peer.LedgerRecord, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingReads[read.key] != read {
		return
	}
	delete(p.pendingReads, read.key)
	if err == nil {
		p.cachePut(read.key, r)
	}
}

// cacheWrite caches a record that the goroutine has read or written, and discards a pending lookup of the
// key, which may have read an older record. Only the goroutine calls it.
func (p *partition) cacheWrite(key string, r *peer.LedgerRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingReads, key)
	p.cachePut(key, r)
}

// cachePut adds a record to the cache and evicts the oldest ones. p.mu is held.
func (p *partition) cachePut(key string, r *peer.LedgerRecord) {
	c := cacheEntry{record: r}
	if r != nil && len(r.Answer) > maxCachedResponseBytes {
		c.record, c.partial = proto.CloneOf(r), true
		c.record.Answer = nil
	}
	if _, ok := p.cache[key]; !ok {
		p.cacheOrder = append(p.cacheOrder, key)
	}
	p.cache[key] = c
	for len(p.cacheOrder) > maxCachedRecords {
		delete(p.cache, p.cacheOrder[0])
		p.cacheOrder = p.cacheOrder[1:]
	}
}
