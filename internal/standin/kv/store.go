// Package kv is a stand-in of the platform's key-value service: an in-memory store that speaks the
// etcd v3 JSON API over HTTP, with fault switches and counters of calls.
//
// Store holds the data, Client is an in-process platform.KV on a Store, and Server offers a Store
// over HTTP. Clients and servers apply faults; the store itself has none. The store's mutex is the
// only lock that is held while data changes, and no lock is held while a call is delayed.
package kv

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// RefusedError is the service's own refusal of a call: it had no effect.
type RefusedError struct {
	// Code is the gRPC status code.
	Code    int
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Message }

var errLease = &RefusedError{etcdjson.CodeNotFound, "etcdserver: requested lease not found"}

// lease is a granted lease with its keys.
type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// Store is the data of the service: keys, leases and the history of changes.
type Store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	nextLease platform.LeaseID
	keys      map[string]platform.KeyValue
	leases    map[platform.LeaseID]*lease
	// history holds all changes after the compacted revision, one entry per revision.
	history []change
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// change is the events of one revision.
type change struct {
	revision int64
	events   []platform.Event
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1,
		keys:     map[string]platform.KeyValue{},
		leases:   map[platform.LeaseID]*lease{},
		changed:  make(chan struct{}),
	}
}

// Revision returns the store's revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact drops the history up to a revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	for len(s.history) > 0 && s.history[0].revision <= s.compacted {
		s.history = s.history[1:]
	}
}

// oldest returns the first revision that a watch can start from.
func (s *Store) oldest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted + 1
}

// Range reads keys.
func (s *Store) Range(r platform.RangeRequest) platform.RangeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(r)
}

func (s *Store) read(r platform.RangeRequest) platform.RangeReply {
	reply := platform.RangeReply{Revision: s.revision}
	if !r.Prefix {
		if kv, ok := s.keys[r.Key]; ok {
			reply.KVs = append(reply.KVs, kv)
		}
		return reply
	}
	for k, kv := range s.keys {
		if strings.HasPrefix(k, r.Key) && k > r.After {
			reply.KVs = append(reply.KVs, kv)
		}
	}
	sort.Slice(reply.KVs, func(i, j int) bool { return reply.KVs[i].Key < reply.KVs[j].Key })
	if r.Limit > 0 && len(reply.KVs) > r.Limit {
		reply.KVs = reply.KVs[:r.Limit]
		reply.More = true
	}
	return reply
}

// Txn runs a transaction as a whole.
func (s *Store) Txn(t platform.Txn) (platform.TxnReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops, succeeded := t.Then, true
	for _, c := range t.If {
		if !s.holds(c) {
			ops, succeeded = t.Else, false
			break
		}
	}
	if err := s.check(ops, len(t.If)); err != nil {
		return platform.TxnReply{}, err
	}
	reply := platform.TxnReply{Succeeded: succeeded}
	var events []platform.Event
	for _, op := range ops {
		switch {
		case op.Read:
			reply.Reads = append(reply.Reads, s.read(platform.RangeRequest{Key: op.Key}))
		case op.Delete:
			events = s.remove(op.Key, events)
		default:
			events = append(events, platform.Event{KV: s.put(op)})
		}
	}
	s.commit(events)
	reply.Revision = s.revision
	return reply, nil
}

// check refuses what the service refuses before anything is written.
func (s *Store) check(ops []platform.Op, compares int) error {
	if len(ops) > platform.MaxTxnOps || compares > platform.MaxTxnOps {
		return &RefusedError{etcdjson.CodeInvalidArgument, "etcdserver: too many operations in txn request"}
	}
	seen := map[string]bool{}
	for _, op := range ops {
		if op.Read {
			continue
		}
		if seen[op.Key] {
			return &RefusedError{etcdjson.CodeInvalidArgument, "etcdserver: duplicate key given in txn request"}
		}
		seen[op.Key] = true
		if len(op.Value) > platform.MaxValueSize {
			return &RefusedError{etcdjson.CodeInvalidArgument, "etcdserver: request is too large"}
		}
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return errLease
		}
	}
	return nil
}

func (s *Store) holds(c platform.Compare) bool {
	kv := s.keys[c.Key]
	switch c.Target {
	case platform.CompareCreateRevision:
		return kv.CreateRevision == c.Revision
	case platform.CompareModRevision:
		return kv.ModRevision == c.Revision
	case platform.CompareVersion:
		return kv.Version == c.Revision
	default:
		return kv.CreateRevision != 0 && bytes.Equal(kv.Value, c.Value)
	}
}

func (s *Store) put(op platform.Op) platform.KeyValue {
	old, exists := s.keys[op.Key]
	next := s.revision + 1
	kv := platform.KeyValue{
		Key: op.Key, Value: bytes.Clone(op.Value), CreateRevision: next,
		ModRevision: next, Version: old.Version + 1, Lease: op.Lease,
	}
	if exists {
		kv.CreateRevision = old.CreateRevision
		s.detach(old)
	}
	if l := s.leases[op.Lease]; l != nil {
		l.keys[op.Key] = true
	}
	s.keys[op.Key] = kv
	return kv
}

func (s *Store) detach(kv platform.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, kv.Key)
	}
}

func (s *Store) remove(key string, events []platform.Event) []platform.Event {
	kv, ok := s.keys[key]
	if !ok {
		return events
	}
	s.detach(kv)
	delete(s.keys, key)
	return append(events, platform.Event{Deleted: true, KV: platform.KeyValue{Key: key, ModRevision: s.revision + 1}})
}

// commit raises the revision and wakes the watches when something changed.
func (s *Store) commit(events []platform.Event) {
	if len(events) == 0 {
		return
	}
	s.revision++
	s.history = append(s.history, change{s.revision, events})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return id
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(id platform.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, errLease
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// Expiry returns the time at which a lease ends without a renewal; it is zero for a lease that is gone.
func (s *Store) Expiry(id platform.LeaseID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		return l.expires
	}
	return time.Time{}
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return errLease
	}
	s.drop(id)
	return nil
}

func (s *Store) expire(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.expires) {
		s.drop(id)
	}
}

func (s *Store) drop(id platform.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	var events []platform.Event
	for key := range l.keys {
		events = s.remove(key, events)
	}
	delete(s.leases, id)
	s.commit(events)
}

// since returns the changes of keys with the prefix after a revision, and a channel that is closed
// at the next change.
func (s *Store) since(prefix string, after int64) ([]platform.WatchReply, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, &RefusedError{etcdjson.CodeOutOfRange, fmt.Sprintf("required revision %d has been compacted", after+1)}
	}
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
	var replies []platform.WatchReply
	for _, c := range s.history[from:] {
		var events []platform.Event
		for _, e := range c.events {
			if strings.HasPrefix(e.KV.Key, prefix) {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			replies = append(replies, platform.WatchReply{Revision: c.revision, Events: events})
		}
	}
	return replies, s.revision, s.changed, nil
}
