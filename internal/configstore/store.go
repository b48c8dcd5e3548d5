// Package configstore keeps the configuration: it makes changes in the key-value service, spreads
// accepted ones as replicated documents, and assembles the snapshot that a daemon runs on.
//
// The head key names the revision and the digest of each part. A change is one transaction,
// conditional on the head, that writes the head, the changed parts and the audit entry; it is
// accepted when that transaction takes effect.
//
// Lock order: Store.assembling, then Store.mu. No lock is held during calls to the service.
package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/platform"
)

// Options are what a Store needs from the daemon.
type Options struct {
	KV        platform.KV
	Members   cluster.Members
	Documents cluster.Documents
	// Validate checks a configuration before it is written.
	Validate func(*config.Config) error
	Log      hclog.Logger
	Metrics  metrics.Registry
}

// Store is one daemon's access to the configuration. All methods are safe for concurrent use.
type Store struct {
	Options
	snapshot atomic.Pointer[config.Snapshot]
	// last is the configuration of the snapshot with its parts.
	last     atomic.Pointer[assembled]
	counters counters
	// wake makes Run look at documents, members and pending work.
	wake chan struct{}

	// assembling allows one assembly at a time, so that snapshots appear in order.
	assembling  sync.Mutex
	mu          sync.Mutex
	subscribers []func(*config.Snapshot)
	// pending are audit entries that could not be written yet.
	pending []Entry
	// open are the attempts whose outcome is not known yet.
	open []Entry
}

// counters are the store's metrics.
type counters struct {
	accepted, conflicts, refused, unknown    metrics.Counter
	olderHeads, divergentHeads, auditDropped metrics.Counter
	watchRestarts, serviceReads              metrics.Counter
	revision                                 metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("configstore."+name, r) }
	return counters{
		accepted: counter("changes_accepted"), conflicts: counter("changes_conflicting"),
		refused: counter("changes_refused"), unknown: counter("changes_unknown"),
		olderHeads: counter("older_heads"), divergentHeads: counter("divergent_heads"),
		auditDropped: counter("audit_entries_dropped"), watchRestarts: counter("watch_restarts"),
		serviceReads: counter("service_reads"),
		revision:     metrics.GetOrRegisterGauge("configstore.revision", r),
	}
}

// New returns a store without a configuration. Run must be called for it to get one.
func New(o Options) *Store {
	s := &Store{Options: o, counters: newCounters(o.Metrics), wake: make(chan struct{}, 1)}
	o.Documents.Subscribe(func(name string, _ uint64, _ []byte) {
		if isConfigDocument(name) {
			s.signal()
		}
	})
	o.Members.Subscribe(s.signal)
	return s
}

func (s *Store) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Snapshot returns the configuration in force, or nil before the first one has arrived.
func (s *Store) Snapshot() *config.Snapshot { return s.snapshot.Load() }

// Subscribe calls f after each new snapshot, in order. f must not block.
func (s *Store) Subscribe(f func(*config.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

const (
	// tickInterval is the time between looks at pending work.
	tickInterval = time.Second
	// peerWait is the time that a daemon without a snapshot waits for its peers' documents before
	// it reads the service.
	peerWait = 2 * time.Second
	// readInterval is the time between reads of the service by a daemon that has no snapshot or
	// misses parts.
	readInterval = 2 * time.Second
)

// Run assembles snapshots, watches the service when this daemon is one of the watchers, and
// settles open attempts, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { s.runPending(ctx) })
	w := &watcher{store: s}
	defer w.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextRead := time.Now().Add(peerWait)
	for {
		w.reconcile(ctx)
		if complete := s.assemble(); complete {
			nextRead = time.Now().Add(peerWait)
		} else if !time.Now().Before(nextRead) {
			s.Refresh(ctx)
			nextRead = time.Now().Add(readInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
		}
	}
}
