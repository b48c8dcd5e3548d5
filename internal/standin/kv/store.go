// Package kv is a stand-in for the platform's key-value service: an in-memory store with the etcd v3 JSON API
// over HTTP, fault injection and call counters.
//
// Store holds the data, Client is an in-process platform.KV backed by a Store, and Server serves a Store over
// HTTP. Clients and servers inject faults; the store itself has none. The store's mutex is the only lock that
// is held while data changes, and no lock is held while a call is delayed.
package kv

import (
	"bytes"
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// RefusedError means that the service rejected a call, which had no effect.
type RefusedError struct {
	// Code is the gRPC status code.
	Code    int
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Message }

var errLeaseNotFound = &RefusedError{etcdjson.CodeNotFound, "etcdserver: requested lease not found"}

// lease is a granted lease and the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// Store is an in-memory key-value store with leases and a change history. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// era is that of revision. It counts the calls of Restore.
	era       int64
	revision  int64
	compacted int64
	nextLease int64
	keys      map[string]platform.KeyValue
	leases    map[platform.LeaseID]*lease
	// history contains all changes after the compacted revision, one entry per revision.
	history []change
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// change contains the events of one revision.
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

// Revision returns the store's current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact discards the history up to and including a revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	for len(s.history) > 0 && s.history[0].revision <= s.compacted {
		s.history = s.history[1:]
	}
}

// Snapshot is a copy of a store, without its history.
type Snapshot struct {
	revision, nextLease int64
	keys                map[string]platform.KeyValue
	leases              map[platform.LeaseID]time.Duration
}

// Snapshot returns a copy of the store.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Snapshot{revision: s.revision, nextLease: s.nextLease, keys: maps.Clone(s.keys), leases: map[platform.LeaseID]time.Duration{}}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the store by an older copy of it and begins a new era, see platform.RevisionInEra. The leases of the copy
// start anew; their numbers, like those of revisions, are given out again. Watches end.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	inEra := func(revision int64) int64 { return platform.RevisionInEra(s.era, platform.NumberOf(revision)) }
	s.revision, s.nextLease, s.history = inEra(c.revision), c.nextLease, nil
	s.compacted = s.revision
	s.keys, s.leases = map[string]platform.KeyValue{}, map[platform.LeaseID]*lease{}
	for id, ttl := range c.leases {
		s.addLease(platform.LeaseID{Era: s.era, Number: id.Number}, ttl)
	}
	for key, kv := range c.keys {
		kv.CreateRevision, kv.ModRevision = inEra(kv.CreateRevision), inEra(kv.ModRevision)
		if kv.Lease != (platform.LeaseID{}) {
			kv.Lease.Era = s.era
			s.leases[kv.Lease].keys[key] = true
		}
		s.keys[key] = kv
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// oldestWatchRevision returns the first revision that a watch can start from.
func (s *Store) oldestWatchRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted + 1
}

// Range reads one key, or the keys with a prefix in ascending order.
func (s *Store) Range(r platform.RangeRequest) platform.RangeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readLocked(r)
}

func (s *Store) readLocked(r platform.RangeRequest) platform.RangeReply {
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

// Txn executes a transaction atomically.
func (s *Store) Txn(t platform.Txn) (platform.TxnReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops, succeeded := t.Then, true
	for _, c := range t.If {
		if !s.matches(c) {
			ops, succeeded = t.Else, false
			break
		}
	}
	if err := s.validateOps(ops, len(t.If)); err != nil {
		return platform.TxnReply{}, err
	}
	reply := platform.TxnReply{Succeeded: succeeded}
	var events []platform.Event
	for _, op := range ops {
		switch {
		case op.Read:
			reply.Reads = append(reply.Reads, s.readLocked(platform.RangeRequest{Key: op.Key}))
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

// validateOps returns the error with which the service rejects a transaction before anything is written.
func (s *Store) validateOps(ops []platform.Op, compares int) error {
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
		if op.Lease != (platform.LeaseID{}) && s.leases[op.Lease] == nil {
			return errLeaseNotFound
		}
	}
	return nil
}

func (s *Store) matches(c platform.Compare) bool {
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

// commit appends the events to the history as a new revision and wakes the watches. Without events it does
// nothing.
func (s *Store) commit(events []platform.Event) {
	if len(events) == 0 {
		return
	}
	s.revision++
	s.history = append(s.history, change{s.revision, events})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(ttl time.Duration) platform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := platform.LeaseID{Era: s.era, Number: s.nextLease}
	s.addLease(id, ttl)
	return id
}

// addLease adds a lease that ends after ttl. s.mu must be held.
func (s *Store) addLease(id platform.LeaseID, ttl time.Duration) {
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
}

// KeepAlive renews a lease and returns its TTL. It returns an error if the lease does not exist.
func (s *Store) KeepAlive(id platform.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, errLeaseNotFound
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// Expiry returns the time at which a lease expires unless it is renewed, or the zero time if the lease does not
// exist.
func (s *Store) Expiry(id platform.LeaseID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		return l.expires
	}
	return time.Time{}
}

// Revoke ends a lease and deletes its keys. It returns an error if the lease does not exist.
func (s *Store) Revoke(id platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return errLeaseNotFound
	}
	s.removeLeaseLocked(id)
	return nil
}

func (s *Store) expire(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.expires) {
		s.removeLeaseLocked(id)
	}
}

func (s *Store) removeLeaseLocked(id platform.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	var events []platform.Event
	for key := range l.keys {
		events = s.remove(key, events)
	}
	delete(s.leases, id)
	s.commit(events)
}

// changesAfter returns the changes to keys with the prefix after a revision, the current revision, and a channel
// that is closed at the next change. It returns a RefusedError if the history has been compacted past the revision.
func (s *Store) changesAfter(prefix string, after int64) ([]platform.WatchReply, int64, <-chan struct{}, error) {
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
