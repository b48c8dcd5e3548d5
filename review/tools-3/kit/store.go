// Package kit has the stand-ins of the review's scripts: the platform's store and control plane, runners, clients, and the
// start of the project's own daemons.
package kit

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store, or its removal.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	TTL     time.Duration
	Expires time.Time
}

// Copy is what a backup of the store holds.
type Copy struct {
	Revision int64
	Taken    time.Time
	items    map[string]Item
	events   []Item
	leases   map[int64]lease
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Address string
	record  *Record

	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	events    []Item
	leases    map[int64]lease
	nextLease int64
	era       int64
	away      bool
	changed   chan struct{}
	copies    []Copy
	// calls counts the calls since the last restore by path.
	calls map[string]int
}

const (
	pageItems   = 500
	pageBytes   = 1 << 20
	historySpan = 20 * time.Second
	// copyInterval is the time between two copies that are kept for a restore.
	copyInterval = 250 * time.Millisecond
)

// NewStore starts a store at an address.
func NewStore(address string, record *Record) (*Store, error) {
	s := &Store{Address: address, record: record, revision: 100, items: map[string]Item{}, leases: map[int64]lease{}, nextLease: 7000, era: 1, changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chivewind/kv-key", s.key)
	mux.HandleFunc("GET /chivewind/kv-range", s.list)
	mux.HandleFunc("GET /chivewind/kv-watch", s.watch)
	mux.HandleFunc("POST /chivewind/kv-txn", s.txn)
	mux.HandleFunc("POST /chivewind/kv-lease", s.grant)
	mux.HandleFunc("POST /chivewind/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /chivewind/kv-lease-end/{id}", s.end)
	err := Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		mux.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	go s.tick()
	return s, nil
}

// tick ends leases and keeps copies.
func (s *Store) tick() {
	for range time.Tick(50 * time.Millisecond) {
		now := time.Now()
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			continue
		}
		for id, l := range s.leases {
			if now.After(l.Expires) {
				s.endLease(id)
			}
		}
		if n := len(s.copies); n == 0 || now.Sub(s.copies[n-1].Taken) >= copyInterval {
			s.copies = append(s.copies, Copy{
				Revision: s.revision, Taken: now, items: maps.Clone(s.items), events: slices.Clone(s.events), leases: maps.Clone(s.leases),
			})
			if len(s.copies) > 80 {
				s.copies = s.copies[1:]
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a runner does and returns the revision. It returns 0 while the store is away.
func (s *Store) Put(key string, value any) int64 {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	s.revision++
	s.put(key, raw, 0)
	s.notify()
	return s.revision
}

// Delete removes a key.
func (s *Store) Delete(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	if _, ok := s.items[key]; ok {
		s.revision++
		s.remove(key)
		s.notify()
	}
	return s.revision
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// Calls returns the number of calls of a path since the last restore.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Revision returns the store's revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Store) put(key string, value []byte, lease int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

// GoAway stops the store: calls get no answer, watches are cut.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
	s.record.Add("store", "is away at revision %d", s.revision)
}

// Restore brings the store back from the newest copy that is at least age old (counted from now), and raises the era.
func (s *Store) Restore(age time.Duration) Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.copies[0]
	for _, o := range s.copies {
		if now.Sub(o.Taken) >= age {
			c = o
		}
	}
	before := s.revision
	s.revision, s.items, s.events = c.Revision, maps.Clone(c.items), slices.Clone(c.events)
	s.leases = map[int64]lease{}
	for id, l := range c.leases {
		// A lease has the time left that it had when the copy was taken.
		l.Expires = now.Add(l.Expires.Sub(c.Taken))
		s.leases[id] = l
	}
	s.copies, s.calls = nil, map[string]int{}
	s.era++
	s.away = false
	s.notify()
	s.record.Add("store", "is back from a copy taken %.2f s ago: revision %d instead of %d, era %d", now.Sub(c.Taken).Seconds(), c.Revision, before, s.era)
	return c
}

// Return ends GoAway without a restore.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.notify()
	s.record.Add("store", "is back")
}

// WriteJSON answers 200 with a JSON body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
	}
	WriteJSON(w, struct {
		Item
		AsOf int64 `json:"as_of"`
	}{it, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < min(len(items), pageItems) && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	WriteJSON(w, map[string]any{"items": items[:n], "has_more": n < len(items), "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			WriteJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			WriteJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
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
	if s.away {
		panic(http.ErrAbortHandler)
	}
	current, holds := []Item{}, true
	for _, c := range in.ExpectedRev {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
		s.record.Add("store", "revision %d: the system writes %s (lease %d)", s.revision, p.Key, p.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
		s.record.Add("store", "revision %d: the system deletes %s", s.revision, key)
	}
	s.notify()
	WriteJSON(w, map[string]int64{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	s.nextLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.nextLease] = lease{TTL: ttl, Expires: time.Now().Add(ttl)}
	WriteJSON(w, map[string]int64{"lease": s.nextLease, "ttl_ms": in.TTLMs})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	l, ok := s.leases[id]
	if !ok {
		s.record.Add("store", "a renewal of lease %d: it has ended", id)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.Expires = time.Now().Add(l.TTL)
	s.leases[id] = l
	WriteJSON(w, map[string]int64{"ttl_ms": l.TTL.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
}
