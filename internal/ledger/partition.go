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
	// txnRate is the number of transactions per second of one partition, so that the fleet stays
	// within what the key-value service takes.
	txnRate = 4
	// txnBurst is the number of transactions after a pause that need not wait.
	txnBurst = txnRate
	// maxQueue bounds the actions that wait in one partition.
	maxQueue = 2000
	// maxQueueBytes bounds the responses that wait in one partition.
	maxQueueBytes = 4 << 20
	// cacheSize bounds the records that a partition keeps in memory.
	cacheSize = 512
	// maxCachedAnswer is the size of the largest response that the cache keeps, in bytes.
	maxCachedAnswer = 256
)

// action is one call that waits for its group to be written.
type action struct {
	ctx   context.Context
	req   *peer.LedgerRequest
	reply chan *peer.LedgerReply
	// decided is the answer once the group is written.
	decided decision
}

// size is the size of the response in the action, in bytes.
func (a *action) size() int { return len(a.req.GetRecord().GetAnswer()) }

// answer sends the reply once; later ones are dropped.
func (a *action) answer(r *peer.LedgerReply) {
	select {
	case a.reply <- r:
	default:
	}
}

// cached is a record in memory; a nil record is known to be absent.
type cached struct {
	record *peer.LedgerRecord
	// partial says that the response is left out.
	partial bool
}

// recordRead identifies one read outside of the partition's goroutine.
type recordRead struct{ key string }

// partition is one partition under this daemon's lease. Its goroutine is the only one that writes.
type partition struct {
	ledger  *Ledger
	id      uint32
	holder  *lease.Holder
	limiter *rate.Limiter
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	// position, modified and sweepAfter belong to the goroutine.
	position position
	// modified is the modification revision of the sequence key, 0 when it is absent.
	modified int64
	// sweepAfter is the last key that the retention sweep has seen.
	sweepAfter string

	mu    sync.Mutex
	queue []*action
	// queuedBytes is the size of the responses in the queue.
	queuedBytes int
	cache       map[string]cached
	// reading has the lookups that read a record now. A store of the key drops its entry, so that no
	// older record replaces a newer one.
	reading map[string]*recordRead
	// order lists the cached keys, the oldest first.
	order []string
}

// newPartition reads the position and starts the goroutine. From the acquisition on no transaction
// of an earlier owner can take effect, so the position read is final.
func newPartition(ctx context.Context, l *Ledger, id uint32, h *lease.Holder) (*partition, error) {
	p := &partition{
		ledger: l, id: id, holder: h, limiter: rate.NewLimiter(txnRate, txnBurst),
		done: make(chan struct{}), wake: make(chan struct{}, 1), cache: map[string]cached{}, reading: map[string]*recordRead{},
	}
	reply, err := l.KV.Range(ctx, platform.RangeRequest{Key: sequenceKey(id)})
	if err != nil {
		return nil, err
	}
	if len(reply.KVs) > 0 {
		p.modified = reply.KVs[0].ModRevision
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

// ended says whether the goroutine has stopped because the partition was lost.
func (p *partition) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return p.holder.Lost()
	}
}

// stop ends the goroutine after its present group.
func (p *partition) stop() {
	p.cancel()
	<-p.done
}

// valid says whether this daemon may answer for the partition right now.
func (p *partition) valid() bool { return p.holder.Valid(time.Now()) }

func (p *partition) notOwner() *peer.LedgerReply { return p.ledger.notOwner(p.id) }

func unavailable() *peer.LedgerReply {
	return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_UNAVAILABLE}
}

func unknown() *peer.LedgerReply {
	return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_UNKNOWN}
}

// lookup answers from memory or from the service.
func (p *partition) lookup(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	key := recordKey(p.id, req.Key)
	c, ok := p.cached(key)
	record := c.record
	if !ok || c.partial {
		read := p.startRead(key)
		var err error
		record, err = p.read(ctx, key)
		p.endRead(read, record, err)
		if err != nil {
			return unavailable(), nil
		}
	}
	if !p.valid() {
		return p.ledger.refusal(p.id), nil
	}
	d := decide(record, req, time.Now())
	return &peer.LedgerReply{Result: d.result, Record: d.record}, nil
}

// read returns a record from the service, nil when absent.
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

// submit queues an action and waits for its reply. The action may take effect after ctx has ended.
func (p *partition) submit(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	a := &action{ctx: ctx, req: req, reply: make(chan *peer.LedgerReply, 1)}
	p.mu.Lock()
	if len(p.queue) >= maxQueue || p.queuedBytes >= maxQueueBytes {
		p.mu.Unlock()
		return unavailable(), nil
	}
	p.queue = append(p.queue, a)
	p.queuedBytes += a.size()
	p.mu.Unlock()
	p.signal()
	select {
	case r := <-a.reply:
		return r, nil
	case <-p.done:
		return p.refuseLate(a), nil
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

// refuseLate answers an action that was queued when the goroutine had ended.
func (p *partition) refuseLate(a *action) *peer.LedgerReply {
	select {
	case r := <-a.reply:
		return r
	default:
		return p.notOwner()
	}
}

// run writes groups until ctx ends or the partition is lost.
func (p *partition) run(ctx context.Context) {
	defer p.refuseQueue()
	var due atomic.Bool
	sweeper := time.AfterFunc(sweepPause, func() {
		due.Store(true)
		p.signal()
	})
	defer sweeper.Stop()
	for held := true; held; {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		if due.CompareAndSwap(true, false) {
			held = p.sweepPage(ctx)
			sweeper.Reset(p.untilSweep())
		}
		for held && p.waiting() {
			if p.limiter.Wait(ctx) != nil {
				return
			}
			held = p.writeGroup(ctx)
		}
	}
	p.ledger.counters.lost.Inc(1)
	p.ledger.Log.Warn("ledger partition lost", "partition", p.id, "token", p.holder.Token())
	p.ledger.signal()
}

func (p *partition) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// refuseQueue answers what is still queued: none of it has been written.
func (p *partition) refuseQueue() {
	p.mu.Lock()
	queue := p.queue
	p.queue = nil
	p.mu.Unlock()
	for _, a := range queue {
		a.answer(p.notOwner())
	}
}

func (p *partition) cached(key string) (cached, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.cache[key]
	return c, ok
}

// startRead begins a read whose result the memory may keep: ACTION_BEGIN mostly follows a lookup
// of its key, and a second read of it would double the reads of the service.
func (p *partition) startRead(key string) *recordRead {
	read := &recordRead{key: key}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading[key] = read
	return read
}

// endRead keeps what a lookup has read, unless the goroutine has stored the key since.
func (p *partition) endRead(read *recordRead, r *peer.LedgerRecord, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading[read.key] != read {
		return
	}
	delete(p.reading, read.key)
	if err == nil {
		p.keep(read.key, r)
	}
}

// store keeps a record in memory. Only the goroutine calls it, so memory never lags behind writes.
func (p *partition) store(key string, r *peer.LedgerRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reading, key)
	p.keep(key, r)
}

// keep adds a record to the memory. p.mu is held.
func (p *partition) keep(key string, r *peer.LedgerRecord) {
	c := cached{record: r}
	if r != nil && len(r.Answer) > maxCachedAnswer {
		c.record, c.partial = proto.CloneOf(r), true
		c.record.Answer = nil
	}
	if _, ok := p.cache[key]; !ok {
		p.order = append(p.order, key)
	}
	p.cache[key] = c
	for len(p.order) > cacheSize {
		delete(p.cache, p.order[0])
		p.order = p.order[1:]
	}
}
