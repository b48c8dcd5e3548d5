package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// unservedTimeout is how long a waiting request may be without a responsive scheduler before it is
// shed. It is longer than the membership takes to replace a failed scheduler.
const unservedTimeout = 10 * time.Second

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Members cluster.Members
	Peers   cluster.Peers
	// Local is this daemon's own scheduler, which is called without the network. If it is nil, the
	// daemon connects to itself as to any other member.
	Local *Scheduler
	// Log discards messages if nil.
	Log hclog.Logger
	// Metrics defaults to a new registry if nil.
	Metrics metrics.Registry
}

// Client requests endpoint slots from the schedulers on behalf of an entry daemon. It implements
// dispatch.Scheduler.
//
// Placement selects the shard of a call, registers the call with the shard's owner by an Acquire or Resume
// message, and binds it to the link that carried the message. Replies from other links do not apply to the
// call. A call becomes unbound when its link closes or the owner replies Moved, and is then placed again.
type Client struct {
	cfg    ClientConfig
	count  clientCounters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// changed wakes placeLoop. Its buffer of one value merges triggers that arrive before it runs.
	changed chan struct{}

	mu sync.Mutex
	// stopped is set with mu held before Stop waits, so that no link is started afterwards.
	stopped bool
	pools   map[string]*poolShards
	// endpointShard maps endpoint IDs to shard IDs.
	endpointShard map[string]string
	// shardIDs is the set of configured shards.
	shardIDs map[string]bool
	calls    map[policy.AttemptID]*call
	// links holds the open links by member ID.
	links map[string]*link
	// streamBackoffs holds the backoffs after failed streams, by member ID.
	streamBackoffs map[string]*backoff
	// movedBackoffs holds the backoffs after Moved replies, by movedKey.
	movedBackoffs map[string]*backoff
	// loads holds the last known load of each shard, by shard ID.
	loads map[string]loadSample
	// nextRetryAt is the time of the next placement that backingOff has triggered.
	nextRetryAt time.Time
}

var _ dispatch.Scheduler = (*Client)(nil)

// clientCounters holds the metrics of a Client.
type clientCounters struct {
	// lateReplies counts replies for calls that have ended or are not bound to the link, and grants for calls
	// that are already granted.
	lateReplies metrics.Counter
	// moved counts Moved replies.
	moved metrics.Counter
	// resumed counts registrations of running calls; reregistered counts repeated registrations of waiting calls.
	resumed, reregistered metrics.Counter
	// secondCandidate counts calls that were placed at a second shard because the first one shed them.
	secondCandidate metrics.Counter
	// streams counts opened links.
	streams metrics.Counter
}

// poolShards holds the shard IDs of one pool and their rendezvous set.
type poolShards struct {
	ids []string
	set *rendezvous.Set
}

// loadSample is a shard's load and the time at which it was received.
type loadSample struct {
	load *peer.ShardLoad
	at   time.Time
}

// NewClient returns a client that sheds all requests until SetSnapshot is called.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	get := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("scheduler.client."+name, cfg.Metrics)
	}
	c := &Client{
		cfg: cfg,
		count: clientCounters{
			lateReplies: get("late_replies"), moved: get("moved"), resumed: get("resumed"),
			reregistered: get("asked_again"), secondCandidate: get("second_candidate"), streams: get("streams"),
		},
		changed: make(chan struct{}, 1),
		pools:   map[string]*poolShards{}, endpointShard: map[string]string{}, shardIDs: map[string]bool{},
		calls: map[policy.AttemptID]*call{}, links: map[string]*link{},
		streamBackoffs: map[string]*backoff{}, movedBackoffs: map[string]*backoff{}, loads: map[string]loadSample{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	cfg.Members.Subscribe(c.triggerPlacement)
	return c
}

// Start starts the goroutine that updates the placement of calls after membership changes. The error is
// always nil.
func (c *Client) Start(context.Context) error {
	c.wg.Go(c.placeLoop)
	return nil
}

// Stop closes all streams and waits for them to end. Waiting calls to Acquire return context.Canceled.
// The error is always nil.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// SetSnapshot applies a configuration. Calls must not be concurrent.
func (c *Client) SetSnapshot(s *config.Snapshot) {
	pools := make(map[string]*poolShards, len(s.PoolShards))
	endpointShard := map[string]string{}
	shardIDs := map[string]bool{}
	for pool, shards := range s.PoolShards {
		p := &poolShards{}
		for _, shard := range shards {
			p.ids = append(p.ids, shard.ID)
			shardIDs[shard.ID] = true
			for _, endpoint := range shard.Endpoints {
				endpointShard[endpoint] = shard.ID
			}
		}
		p.set = rendezvous.NewSet(p.ids)
		pools[pool] = p
	}
	c.mu.Lock()
	c.pools = pools
	c.endpointShard = endpointShard
	c.shardIDs = shardIDs
	c.mu.Unlock()
	c.triggerPlacement()
}

// RecordLoads records the shard loads from another daemon's heartbeat.
func (c *Client) RecordLoads(_ string, loads []*peer.ShardLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLoads(loads)
}

// recordLoads records shard loads as received now. c.mu is held.
func (c *Client) recordLoads(loads []*peer.ShardLoad) {
	now := time.Now()
	for _, l := range loads {
		c.loads[l.Shard] = loadSample{load: l, at: now}
	}
}

// triggerPlacement makes placeLoop run once more. It never blocks.
func (c *Client) triggerPlacement() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Acquire implements dispatch.Scheduler. It blocks until a slot is granted. The error is a
// *dispatch.ShedError if the request is shed, ctx.Err() if ctx ends, or context.Canceled if the client stops.
// An attempt that has no request ID or is already registered is rejected.
func (c *Client) Acquire(ctx context.Context, pool string, a *peer.Acquire) (dispatch.Slot, error) {
	if a.GetAttempt().GetRequestId() == "" {
		return nil, errors.New("acquire: the attempt has no request id")
	}
	k, err := c.startCall(pool, a)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-k.result:
	case <-ctx.Done():
		err = ctx.Err()
	case <-c.ctx.Done():
		err = c.ctx.Err()
	}
	if err != nil {
		c.cancelCall(k)
		return nil, err
	}
	return k, nil
}

// startCall creates a call and places it at its first candidate shard.
func (c *Client) startCall(pool string, a *peer.Acquire) (*call, error) {
	k := newCall(c, pool, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	k.candidates = c.candidates(pool, a)
	if len(k.candidates) == 0 {
		return nil, &dispatch.ShedError{Reason: ReasonNoEndpoint, RetryAfter: time.Second}
	}
	if _, ok := c.calls[k.id]; ok {
		return nil, errors.New("acquire: the attempt is already known")
	}
	k.shard = k.candidates[0]
	c.calls[k.id] = k
	c.place(k)
	return k, nil
}

// cancelCall withdraws and removes a call whose caller has stopped waiting. A slot that was granted in
// the meantime is returned.
func (c *Client) cancelCall(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.state == callDone {
		return
	}
	c.withdraw(k)
	c.removeCall(k)
}

// removeCall marks a call as done and deletes it. c.mu is held.
func (c *Client) removeCall(k *call) {
	k.state = callDone
	k.link = nil
	delete(c.calls, k.id)
}
