package scheduler

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// fifo is a policy with a single queue that grants the first endpoint with a free slot. It records its
// calls in log.
type fifo struct {
	log       *grantLog
	endpoints []policy.Endpoint
	queue     []*policy.Request
	running   map[policy.AttemptID]string
	// granted holds the attempts that were granted since their last Submit.
	granted map[policy.AttemptID]bool
	// maxQueue is the queue length above which the last requests are shed; zero means no limit.
	maxQueue int
}

// grantLog records the calls and grants of all fifo policies of a test.
type grantLog struct {
	mu     sync.Mutex
	grants map[policy.AttemptID][]string
	// duplicates holds the attempts that one policy granted twice without a Submit in between.
	duplicates []policy.AttemptID
	// resumed counts the Resume calls for each attempt.
	resumed map[policy.AttemptID]int
	// waitTimes holds how long each request had waited at each of its Submit calls, by request ID.
	waitTimes map[string][]time.Duration
	outcomes  map[policy.AttemptID]policy.Outcome
	reports   []policy.LoadReport
	tokens    map[policy.AttemptID]int
}

func newGrantLog() *grantLog {
	return &grantLog{
		grants: map[policy.AttemptID][]string{}, resumed: map[policy.AttemptID]int{},
		waitTimes: map[string][]time.Duration{}, outcomes: map[policy.AttemptID]policy.Outcome{},
		tokens: map[policy.AttemptID]int{},
	}
}

// lookup returns an element of one of l's maps, with l.mu held.
func lookup[K comparable, V any](l *grantLog, m map[K]V, key K) V {
	l.mu.Lock()
	defer l.mu.Unlock()
	return m[key]
}

// firstAttempt returns the ID of the first attempt of a request.
func firstAttempt(request string) policy.AttemptID {
	return policy.AttemptID{Request: request, Number: 1}
}

func (f *fifo) SetClasses(time.Duration, []policy.Class)  {}
func (f *fifo) SetWeights(time.Duration, []policy.Weight) {}
func (f *fifo) SetEndpoints(_ time.Duration, e []policy.Endpoint) {
	f.endpoints = e
}

func (f *fifo) Submit(now time.Duration, r *policy.Request) {
	f.queue = append(f.queue, r)
	delete(f.granted, r.ID)
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.waitTimes[r.ID.Request] = append(f.log.waitTimes[r.ID.Request], now-r.Arrival)
}

func (f *fifo) Resume(_ time.Duration, r *policy.Request, endpoint string, tokens int) {
	f.running[r.ID] = endpoint
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.resumed[r.ID]++
	f.log.tokens[r.ID] = tokens
}

func (f *fifo) Progress(_ time.Duration, id policy.AttemptID, tokens int, _ time.Duration) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.tokens[id] = tokens
}

func (f *fifo) Finish(_ time.Duration, id policy.AttemptID, o policy.Outcome, _ int) {
	delete(f.running, id)
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.outcomes[id] = o
}

func (f *fifo) Cancel(_ time.Duration, id policy.AttemptID) {
	delete(f.running, id)
	f.queue = slices.DeleteFunc(f.queue, func(r *policy.Request) bool { return r.ID == id })
}

func (f *fifo) Report(_ time.Duration, r policy.LoadReport) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.log.reports = append(f.log.reports, r)
}

func (f *fifo) freeEndpoint() string {
	for _, e := range f.endpoints {
		used := 0
		for _, on := range f.running {
			if on == e.ID {
				used++
			}
		}
		if !e.Draining && used < e.MaxSlots {
			return e.ID
		}
	}
	return ""
}

func (f *fifo) Step(_ time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for len(f.queue) > 0 && f.freeEndpoint() != "" {
		r := f.queue[0]
		f.queue = f.queue[1:]
		endpoint := f.freeEndpoint()
		f.running[r.ID] = endpoint
		if f.granted[r.ID] {
			f.log.duplicates = append(f.log.duplicates, r.ID)
		}
		f.granted[r.ID] = true
		f.log.grants[r.ID] = append(f.log.grants[r.ID], endpoint)
		dst = append(dst, policy.Decision{Kind: policy.Grant, ID: r.ID, Endpoint: endpoint})
	}
	for f.maxQueue > 0 && len(f.queue) > f.maxQueue {
		r := f.queue[len(f.queue)-1]
		f.queue = f.queue[:len(f.queue)-1]
		dst = append(dst, policy.Decision{
			Kind: policy.Shed, ID: r.ID, Reason: policy.Overload, RetryAfter: time.Second,
		})
	}
	return dst, 0
}

func (f *fifo) Status(time.Duration) policy.Status {
	var s policy.Status
	for _, e := range f.endpoints {
		s.Endpoints = append(s.Endpoints, policy.EndpointStatus{ID: e.ID, Slots: e.MaxSlots})
	}
	return s
}

// daemon is the scheduler and client of one daemon on the in-memory network.
type daemon struct {
	member    *peer.Member
	members   *clustertest.View
	scheduler *Scheduler
	client    *Client
	pool      *peerconn.Pool
	server    *peerconn.Server
}

// fleet is a set of daemons with the same initial configuration.
type fleet struct {
	network *clustertest.Network
	log     *grantLog
	daemons []*daemon
	poll    PollFunc
	// maxQueue is passed to the fifo policies.
	maxQueue int
}

func startFleet(t *testing.T, f *fleet, count int, snapshot *config.Snapshot) *fleet {
	t.Helper()
	f.network = clustertest.NewNetwork()
	f.log = newGrantLog()
	var all []*peer.Member
	for i := range count {
		all = append(all, &peer.Member{
			Id: fmt.Sprintf("d%d", i), Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i),
		})
	}
	for _, m := range all {
		f.daemons = append(f.daemons, f.startDaemon(t, m, all, snapshot))
	}
	return f
}

func (f *fleet) startDaemon(t *testing.T, m *peer.Member, all []*peer.Member, snapshot *config.Snapshot) *daemon {
	t.Helper()
	d := &daemon{member: m, members: clustertest.NewView(m, all...)}
	d.pool = peerconn.NewPool(peerconn.Config{Dial: f.network.Dialer(m.PeerAddress)})
	d.scheduler = New(Config{Members: d.members, Poll: f.poll, NewPolicy: func() policy.Policy {
		return &fifo{
			log: f.log, maxQueue: f.maxQueue,
			running: map[policy.AttemptID]string{}, granted: map[policy.AttemptID]bool{},
		}
	}})
	d.client = NewClient(ClientConfig{Members: d.members, Peers: d.pool, Local: d.scheduler})
	d.scheduler.SetSnapshot(snapshot)
	d.client.SetSnapshot(snapshot)
	server, err := peerconn.NewServer(peerconn.ServerConfig{
		Listener: f.network.Listen(m.PeerAddress), Service: &peerconn.ServiceFuncs{OnSchedule: d.scheduler.Schedule},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.server = server
	for _, start := range []func(context.Context) error{server.Start, d.scheduler.Start, d.client.Start} {
		if err := start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func (f *fleet) stop() {
	ctx := context.Background()
	for _, d := range f.daemons {
		_ = d.client.Stop(ctx)
	}
	for _, d := range f.daemons {
		_ = d.server.Stop(ctx)
		_ = d.scheduler.Stop(ctx)
		_ = d.pool.Close()
	}
}

// owner returns the first daemon that owns a shard according to its own view.
func (f *fleet) owner(shard string) *daemon {
	for _, d := range f.daemons {
		if cluster.IsOwner(d.members, shard) {
			return d
		}
	}
	return nil
}

// other returns a daemon that is not d.
func (f *fleet) other(d *daemon) *daemon {
	i := slices.IndexFunc(f.daemons, func(o *daemon) bool { return o != d })
	return f.daemons[i]
}

// remove removes a daemon from the views of the others.
func (f *fleet) remove(d *daemon) {
	for _, o := range f.daemons {
		if o != d {
			o.members.Set(slices.DeleteFunc(slices.Clone(o.members.Live()), func(m *peer.Member) bool {
				return m.Id == d.member.Id
			})...)
		}
	}
}

// testSnapshot returns a configuration of one pool with the given number of endpoints, slots per endpoint
// and shard size.
func testSnapshot(t testing.TB, endpoints, slots, shardSize int) *config.Snapshot {
	t.Helper()
	c := &config.Config{
		Preset:  "p",
		Presets: []config.Preset{{Name: "p", Classes: []config.Class{{Name: "quick", Tier: 1}}}},
		Pools:   []config.Pool{{Name: "pool", Kind: config.KindEngine, Model: "m", ShardSize: shardSize}},
	}
	for i := range endpoints {
		c.Endpoints = append(c.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Pool: "pool", Zone: "a", MaxSlots: slots,
		})
	}
	s, err := config.NewSnapshot(1, c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func acquireMessage(id string) *peer.Acquire {
	return &peer.Acquire{Attempt: &peer.Attempt{RequestId: id, Number: 1}, Class: "quick", Model: "m"}
}

// duplicateGrants returns a copy of l.duplicates.
func (l *grantLog) duplicateGrants() []policy.AttemptID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.duplicates)
}

// trackedAttempts returns the number of attempts that the schedulers track.
func (f *fleet) trackedAttempts() int {
	n := 0
	for _, d := range f.daemons {
		for _, sh := range d.scheduler.ownedShards() {
			sh.mu.Lock()
			n += len(sh.attempts)
			sh.mu.Unlock()
		}
	}
	return n
}
