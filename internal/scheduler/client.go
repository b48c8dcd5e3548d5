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

// unservedTimeout is how long a waiting request may be without any reachable scheduler before it
// is shed. It exceeds the time in which the membership replaces a failed scheduler.
const unservedTimeout = 10 * time.Second

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	Members cluster.Members
	Peers   cluster.Peers
	// Local is this daemon's own scheduler; it is called without the network. It may be nil.
	Local   *Scheduler
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Client is the entry daemon's side of scheduling. It implements dispatch.Scheduler.
type Client struct {
	cfg     ClientConfig
	count   clientCounters
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	changed chan struct{}

	mu sync.Mutex
	// stopped is set under mu before Stop waits, so that no link starts afterwards.
	stopped        bool
	pools          map[string]*poolShards
	endpointShard  map[string]string
	shardIDs       map[string]bool
	calls          map[policy.AttemptID]*call
	links          map[string]*link
	streamBackoffs map[string]*backoff
	movedBackoffs  map[string]*backoff
	loads          map[string]loadSample
	// nextRetryAt is when a delayed call is placed again at the earliest.
	nextRetryAt time.Time
}

var _ dispatch.Scheduler = (*Client)(nil)

type clientCounters struct {
	lateReplies, moved, resumed, reregistered, secondCandidate, streams metrics.Counter
}

// poolShards holds the shards of one pool with their rendezvous set.
type poolShards struct {
	ids []string
	set *rendezvous.Set
}

// loadSample is the last known load of a shard.
type loadSample struct {
	load *peer.ShardLoad
	at   time.Time
}

// NewClient returns a client without a configuration.
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

// Start begins to follow changes of the membership.
func (c *Client) Start(context.Context) error {
	c.wg.Go(c.placeLoop)
	return nil
}

// Stop closes all streams. Waiting calls of Acquire fail.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	c.stopped = true
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// SetSnapshot applies a configuration. It must not be called concurrently with itself.
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

// ObserveLoads takes the shard loads from a heartbeat or a pong.
func (c *Client) ObserveLoads(_ string, loads []*peer.ShardLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLoads(loads)
}

func (c *Client) recordLoads(loads []*peer.ShardLoad) {
	now := time.Now()
	for _, l := range loads {
		c.loads[l.Shard] = loadSample{load: l, at: now}
	}
}

// triggerPlacement asks the place loop to run. It never blocks.
func (c *Client) triggerPlacement() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Acquire implements dispatch.Scheduler.
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

// startCall registers a call and places it at its first candidate.
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

// cancelCall ends a call whose caller is gone; a slot that was just granted goes back.
func (c *Client) cancelCall(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.state == callDone {
		return
	}
	c.withdraw(k)
	c.removeCall(k)
}

// removeCall forgets a call. c.mu is held.
func (c *Client) removeCall(k *call) {
	k.state = callDone
	k.link = nil
	delete(c.calls, k.id)
}
