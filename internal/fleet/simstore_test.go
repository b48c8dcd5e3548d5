package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// simStore is a key-value store.
type simStore struct {
	mu       sync.Mutex
	revision int64
	events   []simEvent
	changed  chan struct{}
	calls    int
	down     bool
	// delay is the time to a reply; 0 stands for simStoreDelay. unusable makes replies to watches with events unusable.
	delay    time.Duration
	unusable bool
}

// simEvent is a change of the store.
type simEvent struct {
	platform.Event
	at time.Time
}

// simStaleness is the age of the replies to reads that may be stale.
const simStaleness = 3 * time.Second

func newSimStore() *simStore {
	return &simStore{revision: 10, changed: make(chan struct{})}
}

// callCount returns the number of calls so far.
func (s *simStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// restore replaces the store by a copy of the given age and begins a new era. Keys keep the numbers of their revisions.
func (s *simStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := platform.EraOf(s.revision) + 1
	for len(s.events) > 0 && time.Since(s.events[len(s.events)-1].at) < age {
		s.events = s.events[:len(s.events)-1]
	}
	for i := range s.events {
		kv := &s.events[i].KV
		kv.ModRevision = platform.RevisionInEra(era, platform.NumberOf(kv.ModRevision))
		s.revision = kv.ModRevision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStore) put(key string, value []byte) { s.change(key, value, false) }

func (s *simStore) remove(key string) { s.change(key, nil, true) }

func (s *simStore) change(key string, value []byte, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	kv := platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	s.events = append(s.events, simEvent{platform.Event{KV: kv, Deleted: deleted}, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// simKV is the access of one daemon to the store.
type simKV struct{ d *simDaemon }

const (
	// simCallTimeout is the time after which a call without a reply fails.
	simCallTimeout = 700 * time.Millisecond
	// simWatchWait is how long the simulated store holds a call of a watch without events.
	simWatchWait = platform.WatchReplyInterval
	// simWatchBody is the time for a reply to a watch, and simPageBody that for a page of a listing.
	simWatchBody = 1500 * time.Millisecond
	simPageBody  = 10 * time.Second
	// simDecodeCost is the processor time of a byte of a reply on a whole core.
	simDecodeCost = 2 * time.Nanosecond
)

// setDelay sets the time to a reply.
func (s *simStore) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// setDown sets whether all calls fail.
func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setUnusable sets whether replies to watches with events are unusable.
func (s *simStore) setUnusable(unusable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unusable = unusable
}

// wireBytes is the size of a key in a reply, with its value in base64.
func wireBytes(kv platform.KeyValue) int { return len(kv.Value)*4/3 + 100 }

// receive waits until a reply of the store has arrived over the daemon's link and has been decoded, for at most the given
// time. It returns whether it has.
func (d *simDaemon) receive(ctx context.Context, size int, most time.Duration) bool {
	d.sim.mu.Lock()
	now := time.Now()
	wait := max(d.receiveFree.Sub(now), 0) + time.Duration(float64(size)/d.class.bytesPerSec*float64(time.Second))
	complete := wait <= most
	wait = min(wait, most)
	d.receiveFree = now.Add(wait)
	d.sim.mu.Unlock()
	decode := simDecodeCost * time.Duration(size) * 1000 / time.Duration(d.class.capacity)
	sleepContext(ctx, max(wait, decode))
	return complete && ctx.Err() == nil
}

// call counts a call and waits for the reply.
func (k *simKV) call(ctx context.Context) error {
	k.d.sim.store.mu.Lock()
	delay := k.d.sim.store.delay
	k.d.sim.store.mu.Unlock()
	sleepContext(ctx, max(delay, simStoreDelay))
	if _, silent := k.d.silences(); silent {
		sleepContext(ctx, simCallTimeout)
		return platform.ErrUnavailable
	}
	s := k.d.sim.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || k.d.noStore || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (k *simKV) Range(ctx context.Context, r platform.RangeRequest) (platform.RangeReply, error) {
	if err := k.call(ctx); err != nil {
		return platform.RangeReply{}, err
	}
	reply := k.d.sim.store.list(r)
	size := 0
	for _, kv := range reply.KVs {
		size += wireBytes(kv)
	}
	if !k.d.receive(ctx, size, simPageBody) {
		return platform.RangeReply{}, platform.ErrUnavailable
	}
	return reply, nil
}

func (s *simStore) list(r platform.RangeRequest) platform.RangeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.RangeReply{Revision: s.revision}
	items := map[string]platform.KeyValue{}
	for _, e := range s.events {
		if r.Stale && time.Since(e.at) < simStaleness {
			reply.Revision = e.KV.ModRevision - 1
			break
		}
		if e.Deleted {
			delete(items, e.KV.Key)
		} else {
			items[e.KV.Key] = e.KV
		}
	}
	for _, kv := range items {
		reply.KVs = append(reply.KVs, kv)
	}
	return reply
}

func (k *simKV) Watch(ctx context.Context, _ string, from int64) (<-chan platform.WatchReply, error) {
	replies := make(chan platform.WatchReply)
	go func() {
		defer close(replies)
		for ctx.Err() == nil {
			reply := k.poll(ctx, from)
			from = max(from, reply.Revision+1)
			select {
			case replies <- reply:
			case <-ctx.Done():
			}
			if reply.Err != nil {
				return
			}
		}
	}()
	return replies, nil
}

// poll waits for up to simWatchWait for events.
func (k *simKV) poll(ctx context.Context, from int64) platform.WatchReply {
	s := k.d.sim.store
	began := time.Now()
	before, silentBefore := k.d.silences()
	s.mu.Lock()
	changed, current := s.changed, s.revision
	s.mu.Unlock()
	if current < from {
		select {
		case <-changed:
		case <-time.After(simWatchWait):
		case <-ctx.Done():
		}
	}
	if after, _ := k.d.silences(); silentBefore || after != before {
		sleepContext(ctx, time.Until(began.Add(simWatchWait+simCallTimeout)))
		return platform.WatchReply{Err: platform.ErrUnavailable}
	}
	if err := k.call(ctx); err != nil {
		return platform.WatchReply{Err: err}
	}
	if s.eraNow() != platform.EraOf(from) {
		return platform.WatchReply{Err: platform.ErrCompacted}
	}
	reply, size, unusable := s.since(from)
	switch complete := k.d.receive(ctx, size, simWatchBody); {
	case unusable:
		return platform.WatchReply{Err: errors.Join(platform.ErrUnavailable, platform.ErrUnusableReply)}
	case !complete:
		return platform.WatchReply{Err: errors.Join(platform.ErrUnavailable, platform.ErrReplyTooLong)}
	}
	return reply
}

// eraNow returns the store's era.
func (s *simStore) eraNow() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.EraOf(s.revision)
}

// since returns the newest event of each key from a revision on, and the size of all events.
func (s *simStore) since(from int64) (reply platform.WatchReply, size int, unusable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Revision = s.revision
	seen := map[string]bool{}
	for _, e := range slices.Backward(s.events) {
		if e.KV.ModRevision < from {
			break
		}
		size += wireBytes(e.KV)
		if !seen[e.KV.Key] {
			seen[e.KV.Key] = true
			reply.Events = append(reply.Events, e.Event)
		}
	}
	slices.Reverse(reply.Events)
	return reply, size, s.unusable && len(reply.Events) > 0
}

func (k *simKV) Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error) {
	if err := k.call(ctx); err != nil {
		return platform.TxnReply{}, err
	}
	for _, op := range t.Then {
		k.d.sim.store.put(op.Key, op.Value)
	}
	return platform.TxnReply{Succeeded: true}, nil
}

func (k *simKV) Grant(ctx context.Context, _ time.Duration) (platform.LeaseID, error) {
	return platform.LeaseID{Number: 1}, k.call(ctx)
}

func (k *simKV) KeepAlive(ctx context.Context, _ platform.LeaseID) (time.Duration, error) {
	return time.Minute, k.call(ctx)
}

func (k *simKV) Revoke(ctx context.Context, _ platform.LeaseID) error { return k.call(ctx) }
