// Package replica replicates versioned documents to all daemons. Heartbeats carry versions, and a
// daemon pulls a newer document from the peer that advertised it. A new version is also advertised
// at once to a few random peers, by each daemon that gets it.
//
// One mutex guards the documents. It is not held over I/O or while subscribers run.
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
	// exchangeInterval is the time between full exchanges with a random peer.
	exchangeInterval = 30 * time.Second
	// staleAfter is the age of the last check of the documents after which a random peer is asked.
	staleAfter = 5 * time.Second
	// checkInterval is the time between looks at the age of the last check.
	checkInterval = time.Second
	syncTimeout   = 2 * time.Second
	// advertiseAgain is the time between the two rounds that advertise a new version.
	advertiseAgain = 300 * time.Millisecond
	// maxReplyBytes bounds the documents in one reply; the caller asks again for the rest.
	maxReplyBytes = 2 << 20
	// maxPulls bounds concurrent pulls.
	maxPulls = 4
)

// Members is what the replication needs from the membership.
type Members interface {
	cluster.Members
	// Merge applies another daemon's records.
	Merge([]*peer.Member)
	// Digest is equal on daemons that know the same members.
	Digest() uint64
	// Advertise sends the versions to a few random members at once.
	Advertise()
	// SetDocuments attaches the replication to the heartbeats.
	SetDocuments(membership.Documents)
}

// Config holds what a Replica needs.
type Config struct {
	Members Members
	Peers   cluster.Peers
	Log     hclog.Logger
	Metrics metrics.Registry
	// Seed makes random choices repeatable in tests; 0 means a random seed.
	Seed uint64
}

// Replica implements cluster.Documents.
type Replica struct {
	members Members
	peers   cluster.Peers
	log     hclog.Logger
	count   counters
	started time.Time

	cancel  context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
	pulls   chan struct{}
	// advertise holds one token while a new version waits to be advertised.
	advertise chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	documents map[string]*document
	// recent lists changed documents that packets still name one by one.
	recent []recentVersion
	digest uint64
	// checked is when a peer last confirmed the documents.
	checked time.Duration
	// pulling holds the version that is being pulled for each document.
	pulling     map[string]uint64
	subscribers []subscriber
	queue       []notice
	notifying   bool
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

// notice is a change that the subscribers have not seen yet.
type notice struct {
	name    string
	version uint64
	content []byte
}

type counters struct {
	older, pulls, pullErrors, changes metrics.Counter
}

// New returns a replica without documents and attaches it to the members' heartbeats.
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
		count: counters{
			older: get("older_versions"), pulls: get("pulls"),
			pullErrors: get("pull_errors"), changes: get("changes"),
		},
		pulls: make(chan struct{}, maxPulls), advertise: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		documents: map[string]*document{}, pulling: map[string]uint64{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	cfg.Members.SetDocuments(r)
	return r
}

// Start begins the periodic exchanges.
func (r *Replica) Start(context.Context) error {
	r.running.Go(r.exchangeLoop)
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

// LastCheck returns the time since a peer last confirmed the documents.
func (r *Replica) LastCheck() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.checked
}

func (r *Replica) now() time.Duration { return time.Since(r.started) }

// store keeps a newer document, spreads it and tells the subscribers.
func (r *Replica) store(name string, version uint64, content []byte) bool {
	r.mu.Lock()
	d, ok := r.documents[name]
	if !ok {
		d = &document{}
	}
	if version <= d.version {
		if version < d.version {
			r.count.older.Inc(1)
			r.log.Warn("older document version rejected", "document", name, "version", version, "have", d.version)
		}
		r.mu.Unlock()
		return false
	}
	r.documents[name] = d
	r.digest ^= versionHash(name, d.version) ^ versionHash(name, version)
	d.version = version
	d.content = content
	r.addRecent(name)
	r.queue = append(r.queue, notice{name: name, version: version, content: content})
	r.mu.Unlock()
	r.count.changes.Inc(1)
	select {
	case r.advertise <- struct{}{}:
	default:
	}
	r.notify()
	return true
}

// notify passes queued changes to the subscribers, in order. Only one goroutine does so at a time;
// a subscriber may publish, which extends the queue.
func (r *Replica) notify() {
	r.mu.Lock()
	if r.notifying {
		r.mu.Unlock()
		return
	}
	r.notifying = true
	for len(r.queue) > 0 {
		n := r.queue[0]
		r.queue = r.queue[1:]
		subscribers := r.subscribers
		r.mu.Unlock()
		for _, f := range subscribers {
			f(n.name, n.version, n.content)
		}
		r.mu.Lock()
	}
	r.notifying = false
	r.mu.Unlock()
}
