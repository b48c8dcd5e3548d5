// Package scheduler runs the scheduling policy of the shards that a daemon owns, and it is the
// entry daemon's client of the schedulers.
//
// Lock order: Scheduler.mu, shard.mu, Client.mu, outbox.mu. Client.mu and shard.mu are never held
// together: requests and replies pass through outboxes also within one daemon. No lock is held
// over I/O.
package scheduler

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// Times of the protocol between entry daemons and schedulers.
const (
	// PingInterval is the time between pings on a stream, and between batches of progress.
	PingInterval = time.Second
	// StreamTimeout is the time without a message after which a stream is replaced.
	StreamTimeout = 3 * time.Second
	// DefaultGrantValidity is the time in which a granted attempt must start.
	DefaultGrantValidity = time.Second
	// DefaultPollInterval is the time between load reports of an endpoint.
	DefaultPollInterval = time.Second
	// policyStartTime is the policies' time at the start of the scheduler. Requests that arrived earlier
	// at other daemons then still have positive arrival times; 0 means "none" to policies.
	policyStartTime = 24 * time.Hour
	// loadCacheTTL is how long computed shard loads are reused for heartbeats and pongs.
	loadCacheTTL = 200 * time.Millisecond
)

// PollFunc gets an endpoint's load report. age is how old the report's data is; the scheduler sets
// the report's time from it.
type PollFunc func(ctx context.Context, e config.Endpoint) (report policy.LoadReport, age time.Duration, err error)

// Config holds what a Scheduler needs.
type Config struct {
	Members cluster.Members
	// NewPolicy returns the policy of a new shard.
	NewPolicy func() policy.Policy
	// Poll gets load reports; nil means that there are none.
	Poll PollFunc
	// PollInterval and GrantValidity: zero means the defaults.
	PollInterval  time.Duration
	GrantValidity time.Duration
	Log           hclog.Logger
	Metrics       metrics.Registry
}

// Scheduler owns the shards for which this daemon has the highest rendezvous weight.
type Scheduler struct {
	cfg     Config
	started time.Time
	count   counters
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	changed chan struct{}

	mu            sync.Mutex
	snapshot      *config.Snapshot
	shardConfigs  map[string]config.Shard
	draining      map[string]bool
	shards        map[string]*shard
	sessions      map[*session]struct{}
	cachedLoads   []*peer.ShardLoad
	cachedLoadsAt time.Duration
}

type counters struct {
	stale, moved, granted, shed, preempted, released, resumed metrics.Counter
}

// New returns a scheduler without a configuration.
func New(cfg Config) *Scheduler {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.GrantValidity == 0 {
		cfg.GrantValidity = DefaultGrantValidity
	}
	get := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("scheduler."+name, cfg.Metrics)
	}
	s := &Scheduler{
		cfg: cfg, started: time.Now(),
		count: counters{
			stale: get("stale_attempts"), moved: get("moved"), granted: get("granted"), shed: get("shed"),
			preempted: get("preempted"), released: get("released"), resumed: get("resumed"),
		},
		changed: make(chan struct{}, 1),
		shards:  map[string]*shard{}, sessions: map[*session]struct{}{}, shardConfigs: map[string]config.Shard{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	cfg.Members.Subscribe(s.triggerReconcile)
	return s
}

// Start begins to follow changes of the membership.
func (s *Scheduler) Start(context.Context) error {
	s.wg.Go(s.reconcileLoop)
	return nil
}

// Stop gives up all shards.
func (s *Scheduler) Stop(context.Context) error {
	s.mu.Lock()
	// Under the lock, so that no shard starts its polls while Stop waits for them.
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.shards))
	s.shards = map[string]*shard{}
	s.mu.Unlock()
	for _, h := range all {
		h.close()
	}
	return nil
}

// SetSnapshot applies a configuration to all shards. It must not be called concurrently with itself.
func (s *Scheduler) SetSnapshot(snapshot *config.Snapshot) {
	shardConfigs := make(map[string]config.Shard, len(snapshot.Shards))
	for _, shard := range snapshot.Shards {
		shardConfigs[shard.ID] = shard
	}
	s.mu.Lock()
	s.snapshot = snapshot
	s.shardConfigs = shardConfigs
	s.mu.Unlock()
	s.reconfigure()
}

// SetDraining replaces the set of endpoints that drain by the VM list, by their own answers or by
// announcements. It must not be called concurrently with itself.
func (s *Scheduler) SetDraining(endpoints []string) {
	draining := make(map[string]bool, len(endpoints))
	for _, id := range endpoints {
		draining[id] = true
	}
	s.mu.Lock()
	s.draining = draining
	s.mu.Unlock()
	s.reconfigure()
}

func (s *Scheduler) reconfigure() {
	s.reconcile()
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.shards))
	s.mu.Unlock()
	for _, h := range all {
		h.configure()
	}
}

// now is the time that the policies use.
func (s *Scheduler) now() time.Duration { return policyStartTime + time.Since(s.started) }

// triggerReconcile asks the reconcile loop to run. It never blocks.
func (s *Scheduler) triggerReconcile() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Scheduler) reconcileLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
			s.reconcile()
		}
	}
}

// owns says whether this daemon may run a shard now.
func (s *Scheduler) owns(id string) bool {
	return s.cfg.Members.Trusted() && cluster.IsOwner(s.cfg.Members, id)
}

// reconcile creates shards that this daemon has become the owner of and gives up others.
func (s *Scheduler) reconcile() {
	var lost []*shard
	s.mu.Lock()
	for id, h := range s.shards {
		if _, ok := s.shardConfigs[id]; !ok || !s.owns(id) {
			lost = append(lost, h)
			delete(s.shards, id)
		}
	}
	for id := range s.shardConfigs {
		if s.ctx.Err() == nil && s.shards[id] == nil && s.owns(id) {
			s.shards[id] = newShard(s, id)
		}
	}
	s.cachedLoads = nil
	s.mu.Unlock()
	for _, h := range lost {
		s.cfg.Log.Info("shard given up", "shard", h.id)
		h.close()
	}
}

// ownedShard returns the shard if this daemon owns it. It creates it when a request comes before the
// reconcile loop has seen a change.
func (s *Scheduler) ownedShard(id string) *shard {
	if !s.owns(id) {
		s.triggerReconcile()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.shards[id]; h != nil {
		return h
	}
	if _, ok := s.shardConfigs[id]; !ok || s.ctx.Err() != nil {
		return nil
	}
	h := newShard(s, id)
	s.shards[id] = h
	return h
}

// ownedShards returns the shards that this daemon runs, sorted by id.
func (s *Scheduler) ownedShards() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*shard
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		list = append(list, s.shards[id])
	}
	return list
}

// ShardLoads summarizes the owned shards for heartbeats.
func (s *Scheduler) ShardLoads() []*peer.ShardLoad {
	now := s.now()
	s.mu.Lock()
	loads, fresh := s.cachedLoads, s.cachedLoads != nil && now-s.cachedLoadsAt < loadCacheTTL
	s.mu.Unlock()
	if fresh {
		return loads
	}
	loads = []*peer.ShardLoad{}
	for _, h := range s.ownedShards() {
		loads = append(loads, h.load())
	}
	s.mu.Lock()
	s.cachedLoads = loads
	s.cachedLoadsAt = now
	s.mu.Unlock()
	return loads
}

// Status describes the owned shards for operators.
func (s *Scheduler) Status() []*peer.ShardStatus {
	var list []*peer.ShardStatus
	for _, h := range s.ownedShards() {
		list = append(list, h.status())
	}
	return list
}
