// Package configstore manages the dynamic configuration. It commits changes to the key-value service,
// distributes them to all daemons as replicated documents, and builds the snapshot that a daemon uses.
//
// The configuration is stored in parts. The head key lists the revision and the digest of each part. A
// change is one transaction, conditional on the head, that writes the head, the changed parts and the
// audit entry; the change is accepted when that transaction is committed.
//
// Lock order: Store.assembleMu, then Store.mu. No lock is held during calls to the service.
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

// Options holds the dependencies of a Store.
type Options struct {
	KV        platform.KV
	Members   cluster.Members
	Documents cluster.Documents
	// Validate checks a configuration before it is committed. It may be nil.
	Validate func(*config.Config) error
	Log      hclog.Logger
	Metrics  metrics.Registry
}

// Store gives one daemon access to the configuration. All methods are safe for concurrent use.
type Store struct {
	Options
	snapshot atomic.Pointer[config.Snapshot]
	// lastDecoded is the decoded configuration of the current snapshot.
	lastDecoded atomic.Pointer[decodedConfig]
	counters    counters
	// wake makes Run check the documents and the members.
	wake chan struct{}

	// assembleMu serializes calls of assemble, so that snapshots are activated in order.
	assembleMu sync.Mutex
	// mu guards the fields below.
	mu          sync.Mutex
	subscribers []func(*config.Snapshot)
	// pendingAudit holds audit entries that could not be written yet, oldest first.
	pendingAudit []Entry
	// unresolved holds the attempts whose outcome is unknown, oldest first.
	unresolved []Entry
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

// New returns a store without a configuration. Run obtains one.
func New(o Options) *Store {
	s := &Store{Options: o, counters: newCounters(o.Metrics), wake: make(chan struct{}, 1)}
	o.Documents.Subscribe(func(name string, _ uint64, _ []byte) {
		if isConfigDocument(name) {
			s.wakeRun()
		}
	})
	o.Members.Subscribe(s.wakeRun)
	return s
}

// wakeRun wakes Run, if it is not already due to run.
func (s *Store) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Snapshot returns the active snapshot, or nil if this daemon has not received a configuration yet.
func (s *Store) Snapshot() *config.Snapshot { return s.snapshot.Load() }

// Subscribe registers f to be called with each new snapshot, in order of their revisions. f must not
// block.
func (s *Store) Subscribe(f func(*config.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

const (
	// wakeInterval is the longest time between checks for pending work.
	wakeInterval = time.Second
	// peerTimeout is the time that a daemon without a complete configuration waits for documents from
	// its peers before it reads the service.
	peerTimeout = 2 * time.Second
	// serviceReadInterval is the time between reads of the service by a daemon that has no snapshot or
	// lacks parts.
	serviceReadInterval = 2 * time.Second
)

// Run builds snapshots, watches the service while this daemon is one of the watchers, writes queued audit
// entries and resolves attempts with unknown outcome, until ctx ends. It always returns nil.
func (s *Store) Run(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { s.runBackgroundWork(ctx) })
	w := &watcher{store: s}
	defer w.stop()
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	nextRead := time.Now().Add(peerTimeout)
	for {
		w.reconcile(ctx)
		if complete := s.assemble(); complete {
			nextRead = time.Now().Add(peerTimeout)
		} else if !time.Now().Before(nextRead) {
			s.Refresh(ctx)
			nextRead = time.Now().Add(serviceReadInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
		}
	}
}
