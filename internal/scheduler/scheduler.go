// Package scheduler runs the scheduling policy for the shards that a daemon owns. It also contains
// the client that an entry daemon uses to request endpoint slots from the schedulers of the cluster.
//
// A shard is a group of endpoints of one pool. The daemon with the highest rendezvous weight for a
// shard owns it and grants the slots of its endpoints. A slot is the right to run one attempt of a
// request on an endpoint. An entry daemon is a daemon in its role of receiving requests from callers.
//
// Lock order: Scheduler.mu, shard.mu, Client.mu, outbox.mu. Client.mu and shard.mu are never held
// together, because requests and replies are queued in outboxes even within one daemon. No lock is
// held during I/O.
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

// Timing parameters of the protocol between entry daemons and schedulers.
const (
	// PingInterval is the time between pings on a stream, and between progress batches.
	PingInterval = time.Second
	// StreamTimeout is how long a stream may receive no message before it is closed and replaced.
	StreamTimeout = 3 * time.Second
	// DefaultGrantValidity is the time after a grant within which the attempt must start.
	DefaultGrantValidity = time.Second
	// DefaultPollInterval is the time between two polls of an endpoint's load report.
	DefaultPollInterval = time.Second
	// policyStartTime is the policy clock's reading when the scheduler starts. It is positive so that
	// requests that arrived at other daemons before that have positive arrival times: policies
	// treat 0 as unset.
	policyStartTime = 24 * time.Hour
	// loadCacheTTL is how long ShardLoads reuses its last result for heartbeats and pongs.
	loadCacheTTL = 200 * time.Millisecond
)

// PollFunc requests an endpoint's load report. age is the age of the report's data; the scheduler
// subtracts it from the time of the request to set report.MeasuredAt.
type PollFunc func(ctx context.Context, e config.Endpoint) (report policy.LoadReport, age time.Duration, err error)

// Config holds the dependencies and settings of a Scheduler.
type Config struct {
	Members cluster.Members
	// NewPolicy returns the policy for a newly owned shard.
	NewPolicy func() policy.Policy
	// Poll requests load reports; nil disables polling.
	Poll PollFunc
	// PollInterval defaults to DefaultPollInterval if zero.
	PollInterval time.Duration
	// GrantValidity defaults to DefaultGrantValidity if zero.
	GrantValidity time.Duration
	// Log discards messages if nil.
	Log hclog.Logger
	// Metrics defaults to a new registry if nil.
	Metrics metrics.Registry
}

// Scheduler runs the policies of the shards for which this daemon has the highest rendezvous weight.
type Scheduler struct {
	cfg     Config
	started time.Time
	count   counters
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// changed wakes reconcileLoop. Its buffer of one value merges triggers that arrive before it runs.
	changed chan struct{}

	mu       sync.Mutex
	snapshot *config.Snapshot
	// shardConfigs holds all configured shards, by ID.
	shardConfigs map[string]config.Shard
	// draining holds the IDs of endpoints that drain for reasons outside the configuration.
	draining map[string]bool
	// shards holds the owned shards, by ID.
	shards   map[string]*shard
	sessions map[*session]struct{}
	// cachedLoads is the last result of ShardLoads, computed at cachedLoadsAt. reconcile resets it to nil.
	cachedLoads   []*peer.ShardLoad
	cachedLoadsAt time.Duration
}

// counters holds the metrics of a Scheduler.
type counters struct {
	// stale counts messages and decisions about attempts that are unknown or replaced by a later one.
	stale metrics.Counter
	// moved counts Moved replies.
	moved                    metrics.Counter
	granted, shed, preempted metrics.Counter
	// released counts attempts that were canceled because their session had ended or been replaced.
	released metrics.Counter
	// resumed counts running attempts that were registered with a Resume.
	resumed metrics.Counter
}

// New returns a scheduler that owns no shards until SetSnapshot is called.
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

// Start starts the goroutine that reconciles the owned shards after membership changes. The error is
// always nil.
func (s *Scheduler) Start(context.Context) error {
	s.wg.Go(s.reconcileLoop)
	return nil
}

// Stop releases all shards and tells the entry daemons to register their requests elsewhere. It waits
// for running polls to end. The error is always nil.
func (s *Scheduler) Stop(context.Context) error {
	s.mu.Lock()
	// Cancel with the lock held, so that no shard starts a poll loop while Stop waits for them.
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.shards))
	s.shards = map[string]*shard{}
	s.mu.Unlock()
	for _, sh := range all {
		sh.close()
	}
	return nil
}

// SetSnapshot applies a configuration to all shards. Calls must not be concurrent.
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

// SetDraining replaces the set of endpoint IDs that drain because of the VM list, their own responses
// or announcements, in addition to those that the configuration drains. Calls must not be concurrent.
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

// reconfigure updates the set of owned shards and then applies the configuration to each of them.
func (s *Scheduler) reconfigure() {
	s.reconcile()
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.shards))
	s.mu.Unlock()
	for _, sh := range all {
		sh.configure()
	}
}

// now returns the current reading of the policy clock.
func (s *Scheduler) now() time.Duration { return policyStartTime + time.Since(s.started) }

// triggerReconcile makes reconcileLoop run once more. It never blocks.
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

// owns reports whether this daemon owns the shard according to a fresh view of the membership. After a pause
// of this process has been detected, the view is not fresh until it has been refreshed.
func (s *Scheduler) owns(id string) bool {
	return s.cfg.Members.ViewFresh() && cluster.IsOwner(s.cfg.Members, id)
}

// reconcile creates the shards that this daemon now owns and releases those that it no longer owns.
func (s *Scheduler) reconcile() {
	var lost []*shard
	s.mu.Lock()
	for id, sh := range s.shards {
		if _, ok := s.shardConfigs[id]; !ok || !s.owns(id) {
			lost = append(lost, sh)
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
	for _, sh := range lost {
		s.cfg.Log.Info("shard released", "shard", sh.id)
		sh.close()
	}
}

// ownedShard returns the shard if this daemon owns it, else nil. It creates the shard if a request
// arrives before reconcileLoop has processed the change of ownership.
func (s *Scheduler) ownedShard(id string) *shard {
	if !s.owns(id) {
		s.triggerReconcile()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sh := s.shards[id]; sh != nil {
		return sh
	}
	if _, ok := s.shardConfigs[id]; !ok || s.ctx.Err() != nil {
		return nil
	}
	sh := newShard(s, id)
	s.shards[id] = sh
	return sh
}

// ownedShards returns the shards that this daemon runs, sorted by ID.
func (s *Scheduler) ownedShards() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*shard
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		list = append(list, s.shards[id])
	}
	return list
}

// ShardLoads returns the loads of the owned shards for heartbeats and pongs. The result may be up to
// loadCacheTTL old and must not be modified.
func (s *Scheduler) ShardLoads() []*peer.ShardLoad {
	now := s.now()
	s.mu.Lock()
	loads, fresh := s.cachedLoads, s.cachedLoads != nil && now-s.cachedLoadsAt < loadCacheTTL
	s.mu.Unlock()
	if fresh {
		return loads
	}
	loads = []*peer.ShardLoad{}
	for _, sh := range s.ownedShards() {
		loads = append(loads, sh.load())
	}
	s.mu.Lock()
	s.cachedLoads = loads
	s.cachedLoadsAt = now
	s.mu.Unlock()
	return loads
}

// Status returns the state of the endpoints and classes of each owned shard, for operators.
func (s *Scheduler) Status() []*peer.ShardStatus {
	var list []*peer.ShardStatus
	for _, sh := range s.ownedShards() {
		list = append(list, sh.status())
	}
	return list
}
