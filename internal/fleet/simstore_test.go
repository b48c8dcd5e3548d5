package fleet

import (
	"context"
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
)

// call counts a call and waits for the reply.
func (k *simKV) call(ctx context.Context) error {
	sleepContext(ctx, simStoreDelay)
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
	s := k.d.sim.store
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
	return reply, nil
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
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.WatchReply{Revision: s.revision}
	for _, e := range s.events {
		if e.KV.ModRevision >= from {
			reply.Events = append(reply.Events, e.Event)
		}
	}
	return reply
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
	return 1, k.call(ctx)
}

func (k *simKV) KeepAlive(ctx context.Context, _ platform.LeaseID) (time.Duration, error) {
	return time.Minute, k.call(ctx)
}

func (k *simKV) Revoke(ctx context.Context, _ platform.LeaseID) error { return k.call(ctx) }
