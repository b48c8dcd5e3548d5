// Package replica replicates versioned documents to all daemons. Heartbeats carry document
// versions, and a daemon pulls a newer document from the peer that advertised it. Each daemon that
// receives a new version also advertises it immediately to a few random peers.
//
// A mutex guards the documents. It is not held during calls to other daemons or subscriber callbacks.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/peer"
)

// Intervals and limits of the replication.
const (
	// antiEntropyInterval is the time between full exchanges with a random peer.
	antiEntropyInterval = 30 * time.Second
	// maxConfirmationAge is the time without a confirmation by a peer after which a full exchange
	// starts early. A confirmation is a heartbeat with the same documents digest, or a full exchange.
	maxConfirmationAge = 5 * time.Second
	// confirmationCheckInterval is the time between checks of that age.
	confirmationCheckInterval = time.Second
	// syncTimeout bounds a pull, or all calls of a full exchange.
	syncTimeout = 2 * time.Second
	// readvertiseDelay is the time between the two rounds that advertise a new version.
	readvertiseDelay = 300 * time.Millisecond
	// maxReplyBytes bounds the documents in one reply of a full exchange; the caller requests the
	// rest in further calls.
	maxReplyBytes = 2 << 20
	// maxConcurrentPulls bounds concurrent pulls.
	maxConcurrentPulls = 4
)

// Members is the part of the membership that the replication uses.
type Members interface {
	cluster.Members
	// Merge applies the member records of another daemon.
	Merge([]*peer.Member)
	// Digest returns a hash that is equal on daemons that know the same reachable members.
	Digest() uint64
	// Advertise immediately sends the document versions to a few random members.
	Advertise()
	// SetDocuments attaches the replication to the heartbeats.
	SetDocuments(membership.Documents)
}

// Config configures a Replica.
type Config struct {
	Members Members
	Peers   cluster.Peers
	Log     hclog.Logger
	Metrics metrics.Registry
	// Seed makes random choices reproducible in tests; 0 means a random seed.
	Seed uint64
}

// Replica implements cluster.Documents.
type Replica struct {
	members  Members
	peers    cluster.Peers
	log      hclog.Logger
	counters counters
	started  time.Time

	cancel  context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
	// pullSlots limits concurrent pulls.
	pullSlots chan struct{}
	// advertiseSignal holds one element while a new version waits to be advertised.
	advertiseSignal chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	documents map[string]*document
	// recentChanges lists the changed documents that packets still carry individually.
	recentChanges []recentChange
	digest        uint64
	// confirmedAt is when the documents last matched or were synced with those of a peer.
	confirmedAt time.Duration
	// pulling maps the name of a document to the version that is being pulled.
	pulling        map[string]uint64
	subscribers    []subscriber
	pendingChanges []change
	notifying      bool
}

var (
	_ cluster.Documents    = (*Replica)(nil)
	_ membership.Documents = (*Replica)(nil)
	_ Members              = (*membership.Membership)(nil)
)

type subscriber func(name string, version uint64, content []byte)

type document struct {
	version uint64
	content []byte
}

// change is a document change of which the subscribers have not been notified yet.
type change struct {
	name    string
	version uint64
	content []byte
}

type counters struct {
	older, pulls, pullErrors, changes metrics.Counter
}

// New returns a Replica without documents and attaches it to the heartbeats of the members.
func New(cfg Config) *Replica {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	get := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("replica."+name, cfg.Metrics)
	}
	r := &Replica{
		members: cfg.Members, peers: cfg.Peers, log: cfg.Log, started: time.Now(),
		counters: counters{
			older: get("older_versions"), pulls: get("pulls"),
			pullErrors: get("pull_errors"), changes: get("changes"),
		},
		pullSlots: make(chan struct{}, maxConcurrentPulls), advertiseSignal: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		documents: map[string]*document{}, pulling: map[string]uint64{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	cfg.Members.SetDocuments(r)
	return r
}

// Start begins the periodic exchanges.
func (r *Replica) Start(context.Context) error {
	r.running.Go(r.antiEntropyLoop)
	r.running.Go(r.advertiseLoop)
	return nil
}

// Stop ends all exchanges.
func (r *Replica) Stop(context.Context) error {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.running.Wait()
	return nil
}

// Publish implements cluster.Documents.
func (r *Replica) Publish(name string, version uint64, content []byte) bool {
	return r.store(name, version, content)
}

// Get implements cluster.Documents.
func (r *Replica) Get(name string) (uint64, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.documents[name]; ok {
		return d.version, d.content
	}
	return 0, nil
}

// Subscribe implements cluster.Documents.
func (r *Replica) Subscribe(f func(name string, version uint64, content []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// confirmationAge returns the time since the documents were last confirmed by a peer.
func (r *Replica) confirmationAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.confirmedAt
}

func (r *Replica) now() time.Duration { return time.Since(r.started) }

// store keeps a document if its version is newer, triggers its advertisement and notifies the
// subscribers. It reports whether the document was stored.
func (r *Replica) store(name string, version uint64, content []byte) bool {
	r.mu.Lock()
	d, ok := r.documents[name]
	if !ok {
		d = &document{}
	}
	if version <= d.version {
		if version < d.version {
			r.counters.older.Inc(1)
			r.log.Warn("older document version rejected", "document", name, "version", version, "have", d.version)
		}
		r.mu.Unlock()
		return false
	}
	r.documents[name] = d
	r.digest ^= versionHash(name, d.version) ^ versionHash(name, version)
	d.version = version
	d.content = content
	r.addRecentChange(name)
	r.pendingChanges = append(r.pendingChanges, change{name: name, version: version, content: content})
	r.mu.Unlock()
	r.counters.changes.Inc(1)
	select {
	case r.advertiseSignal <- struct{}{}:
	default:
	}
	r.notify()
	return true
}

// notify delivers pending changes to the subscribers in order. Only one goroutine delivers at a
// time. A subscriber may publish, which adds a pending change.
func (r *Replica) notify() {
	r.mu.Lock()
	if r.notifying {
		r.mu.Unlock()
		return
	}
	r.notifying = true
	for len(r.pendingChanges) > 0 {
		c := r.pendingChanges[0]
		r.pendingChanges = r.pendingChanges[1:]
		subscribers := r.subscribers
		r.mu.Unlock()
		for _, f := range subscribers {
			f(c.name, c.version, c.content)
		}
		r.mu.Lock()
	}
	r.notifying = false
	r.mu.Unlock()
}
