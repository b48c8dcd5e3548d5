package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstRevision is the revision of the empty store.
const firstRevision = 100

// historyAge is how long the store keeps events for watches (history_s of the settings).
const historyAge = 20 * time.Second

// item is a key of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// store is a stand-in for the platform's metadata store. It keeps historyAge of events and pages of 500 items.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	// log holds all changes since the start, for reads that may be stale.
	log []item
	// compacted is the newest revision whose events have been dropped.
	compacted int64
	leases    map[int64]bool
	changed   chan struct{}
	// delay is how long an answer takes.
	delay time.Duration
}

// answerDelay is how long the store takes for an answer in quiet times (4 ms on the sheets).
const answerDelay = 4 * time.Millisecond

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: firstRevision, items: map[string]item{}, leases: map[int64]bool{}, changed: make(chan struct{}), delay: answerDelay}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chivewind/kv-key", s.serveKey)
	mux.HandleFunc("GET /chivewind/kv-range", s.serveRange)
	mux.HandleFunc("GET /chivewind/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /chivewind/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /chivewind/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /chivewind/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /chivewind/kv-lease-end/{id}", s.serveEnd)
	go func() { _ = http.Serve(l, s.delayed(mux)) }()
	return s, nil
}

// setDelay sets how long an answer takes.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// delayed holds each answer back for the store's delay.
func (s *store) delayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		s.mu.Lock()
		d := s.delay
		s.mu.Unlock()
		time.Sleep(d)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key, as the operator or an endpoint does, and returns its revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
	return s.revision
}

// remove removes a key.
func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
	return s.revision
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = it
	s.events, s.log = append(s.events, it), append(s.log, it)
}

func (s *store) drop(key string) {
	delete(s.items, key)
	it := item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()}
	s.events, s.log = append(s.events, it), append(s.log, it)
}

// staleness is how old a read is that may be stale: the page says seconds.
const staleness = 3 * time.Second

// itemsAsOf returns the keys and the revision of the store at a time.
func (s *store) itemsAsOf(at time.Time) (map[string]item, int64) {
	items, revision := map[string]item{}, int64(firstRevision)
	for _, it := range s.log {
		if it.at.After(at) {
			break
		}
		revision = it.Revision
		if it.Tombstone {
			delete(items, it.Key)
		} else {
			items[it.Key] = it
		}
	}
	return items, revision
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the events that are older than historyAge.
func (s *store) compact() {
	n := 0
	for n < len(s.events) && time.Since(s.events[n].at) > historyAge {
		s.compacted = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
	}
	reply(w, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems, pageBytes = 500, 1 << 20
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items, asOf := s.items, s.revision
	if r.URL.Query().Get("allow_stale") == "1" {
		items, asOf = s.itemsAsOf(time.Now().Add(-staleness))
	}
	found := []item{}
	for key, it := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, size := 0, 0
	for n < len(found) && n < pageItems && (n == 0 || size+len(found[n].Value) <= pageBytes) {
		size += len(found[n].Value)
		n++
	}
	reply(w, map[string]any{"items": found[:n], "has_more": n < len(found), "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		s.compact()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range in.Expected {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && !s.leases[p.Lease] {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.drop(key)
	}
	s.notify()
	reply(w, map[string]int64{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases) + 1)
	s.leases[id] = true
	reply(w, map[string]int64{"lease": id, "ttl_ms": in.TTLMs})
}

// serveKeep renews a lease. Leases outlast the runs of this stand-in: the daemons ask for at least a minute.
func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[id] {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]int64{"ttl_ms": 60000})
}

func (s *store) serveEnd(_ http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}
