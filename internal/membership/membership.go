// Package membership keeps a daemon's view of the other daemons: it runs the state machine of
// package swim over UDP, joins and leaves, and detects pauses of this process.
//
// One mutex guards the state machine. It is never held over I/O or while subscribers run; readers
// use an immutable view and take no lock.
package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// tickInterval is well below the ack timeout, so that timeouts are met closely.
const tickInterval = 100 * time.Millisecond

// PauseLimit is the time without a tick after which the process counts as paused.
const PauseLimit = 2 * time.Second

// MembersVersion names the digest of the members in lists of document versions.
const MembersVersion = "."

// exchangeAfter is the time of disagreement after which two daemons exchange their views, and the
// least time between two such exchanges.
const exchangeAfter = 5 * time.Second

// Config holds what a Membership needs.
type Config struct {
	// Self describes this daemon. Incarnation 0 is replaced by the wall clock in milliseconds,
	// so that a restarted daemon supersedes its earlier record.
	Self *peer.Member
	// Listen is the UDP address to bind. Default: Self.GossipAddress.
	Listen string
	// Transport replaces the UDP socket, for tests.
	Transport Transport
	// ClusterKey authenticates packets; empty means no authentication.
	ClusterKey []byte
	// Join lists peer addresses (host:port over TCP) of other daemons.
	Join []string
	// VMAddresses returns peer addresses taken from the VM list; it may be nil.
	VMAddresses func(context.Context) ([]string, error)
	// Peers reaches other daemons for announcements.
	Peers cluster.Peers
	// Protocol holds the protocol's times. Zero means swim.DefaultConfig.
	Protocol swim.Config
	// Seed makes random choices repeatable in tests; 0 means a random seed.
	Seed    uint64
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Documents is the replication that uses heartbeats. Package replica implements it.
type Documents interface {
	// HeartbeatVersions returns the versions for one packet.
	HeartbeatVersions() []*peer.DocumentVersion
	// ObserveVersions takes the versions from a packet. It must not block.
	ObserveVersions(from *peer.Member, versions []*peer.DocumentVersion)
	// SyncWith exchanges members and documents with a member, of which only the peer address
	// may be known.
	SyncWith(ctx context.Context, member *peer.Member) error
}

// Membership implements cluster.Members.
type Membership struct {
	cfg       Config
	codec     codec
	transport Transport
	log       hclog.Logger
	count     counters
	started   time.Time

	documents    Documents
	shardLoads   func() []*peer.ShardLoad
	observeLoads func(from string, loads []*peer.ShardLoad)

	view     atomic.Pointer[view]
	lastTick atomic.Int64
	trusted  atomic.Bool
	// trustMu guards the end of recoveries and the start of exchanges.
	trustMu sync.Mutex
	pauses  int
	// agreed is when a heartbeat last carried this daemon's own digest, and exchanged when it
	// last exchanged views because of a different one, both in nanoseconds of now.
	agreed    atomic.Int64
	exchanged atomic.Int64
	joined    chan struct{}
	joinOnce  sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu    sync.Mutex
	state *swim.State

	subscribersMu sync.Mutex
	subscribers   []func()
}

var _ cluster.Members = (*Membership)(nil)

// New returns a membership that knows only this daemon. It binds the UDP socket.
func New(cfg Config) (*Membership, error) {
	if cfg.Self == nil || cfg.Self.Id == "" {
		return nil, errors.New("membership: the daemon has no id")
	}
	cfg.Self = proto.Clone(cfg.Self).(*peer.Member)
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Protocol == (swim.Config{}) {
		cfg.Protocol = swim.DefaultConfig()
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Transport == nil {
		address := cfg.Listen
		if address == "" {
			address = cfg.Self.GossipAddress
		}
		t, err := ListenUDP(address)
		if err != nil {
			return nil, oops.With("step", "listen for membership packets").With("address", address).Wrap(err)
		}
		cfg.Transport = t
	}
	m := &Membership{
		cfg: cfg, codec: codec{key: cfg.ClusterKey}, transport: cfg.Transport, log: cfg.Log,
		count: newCounters(cfg.Metrics), started: time.Now(), joined: make(chan struct{}),
		state: swim.New(cfg.Protocol, cfg.Self, rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))),
	}
	m.trusted.Store(true)
	m.lastTick.Store(int64(m.now()))
	m.view.Store(newView(m.state))
	return m, nil
}

// SetDocuments attaches the replication. It must be called before Start.
func (m *Membership) SetDocuments(d Documents) { m.documents = d }

// SetLoads attaches the source and the receiver of shard loads in heartbeats; either may be nil.
// It must be called before Start.
func (m *Membership) SetLoads(source func() []*peer.ShardLoad, observe func(from string, loads []*peer.ShardLoad)) {
	m.shardLoads = source
	m.observeLoads = observe
}

// Start begins to probe, to answer and to join.
func (m *Membership) Start(ctx context.Context) error {
	if m.documents == nil {
		return errors.New("membership: no documents attached")
	}
	// The daemon's context ends when a stop begins, but members must be answered until Stop.
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	m.ctx = ctx
	m.lastTick.Store(int64(m.now()))
	m.running.Go(func() { m.tickLoop(ctx) })
	m.running.Go(m.receiveLoop)
	m.running.Go(func() { m.joinLoop(ctx) })
	return nil
}

// Stop tells a few members that this daemon has left, if it is leaving, and releases the socket.
func (m *Membership) Stop(context.Context) error {
	if m.Self().State == peer.MemberState_MEMBER_STATE_LEAVING {
		m.do(func(s *swim.State) {
			s.Leave(true)
			s.Advertise()
		})
	}
	if m.cancel != nil {
		// Under the lock, so that no exchange starts while Stop waits for them.
		m.trustMu.Lock()
		m.cancel()
		m.trustMu.Unlock()
	}
	err := m.transport.Close()
	m.running.Wait()
	return err
}

// now is the time that the state machine uses.
func (m *Membership) now() time.Duration { return time.Since(m.started) }

// do runs f on the state machine, sends the packets that result and publishes a changed view.
func (m *Membership) do(f func(*swim.State)) {
	m.mu.Lock()
	f(m.state)
	out := m.state.Take()
	changed := m.state.Generation() != m.view.Load().generation
	if changed {
		m.view.Store(newView(m.state))
	}
	m.mu.Unlock()
	for _, e := range out {
		m.send(e)
	}
	if changed {
		m.notify()
	}
}

func (m *Membership) notify() {
	m.subscribersMu.Lock()
	subscribers := m.subscribers
	m.subscribersMu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// send adds documents and loads to a packet and sends it. A datagram may be lost anyway, so that a
// failed send is only counted.
func (m *Membership) send(e swim.Envelope) {
	e.Packet.Versions = append(m.documents.HeartbeatVersions(),
		&peer.DocumentVersion{Name: MembersVersion, Version: m.Digest()})
	if m.shardLoads != nil {
		e.Packet.Loads = m.shardLoads()
	}
	trim(e.Packet, MaxPacket-m.codec.overhead())
	payload, err := m.codec.encode(e.Packet)
	if err == nil {
		err = m.transport.Send(e.Address, payload)
	}
	if err != nil {
		m.count.sendErrors.Inc(1)
		return
	}
	m.count.packetsSent.Inc(1)
	m.count.bytesSent.Inc(int64(len(payload)))
}

// trim drops loads, versions and updates, in this order, until the packet fits.
func trim(p *peer.Packet, limit int) {
	for proto.Size(p) > limit {
		switch {
		case len(p.Loads) > 0:
			p.Loads = p.Loads[:len(p.Loads)/2]
		case len(p.Versions) > 1:
			p.Versions = p.Versions[:len(p.Versions)/2]
		case len(p.Updates) > 0:
			p.Updates = p.Updates[:len(p.Updates)-1]
		default:
			return
		}
	}
}

// receiveLoop handles packets until the transport is closed.
func (m *Membership) receiveLoop() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := m.transport.Receive(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A daemon that stopped to listen for one failed read would be declared dead.
			m.count.receiveErrors.Inc(1)
			time.Sleep(tickInterval)
			continue
		}
		m.count.packetsReceived.Inc(1)
		m.count.bytesReceived.Inc(int64(n))
		p, err := m.codec.decode(buf[:n])
		if err != nil {
			m.count.rejected.Inc(1)
			continue
		}
		m.handle(from, p)
	}
}

func (m *Membership) handle(from string, p *peer.Packet) {
	m.do(func(s *swim.State) { s.Handle(m.now(), from, p) })
	if sender := m.view.Load().find(p.From); sender != nil && len(p.Versions) > 0 {
		m.documents.ObserveVersions(sender, p.Versions)
		m.compare(sender, p.Versions)
	}
	if m.observeLoads != nil && len(p.Loads) > 0 {
		m.observeLoads(p.From, p.Loads)
	}
}

// compare exchanges views with a member when heartbeats have shown other digests for some time.
// Gossip alone would need minutes after the partition of a large fleet has healed.
func (m *Membership) compare(sender *peer.Member, versions []*peer.DocumentVersion) {
	now := m.now()
	for _, v := range versions {
		if v.Name == MembersVersion && v.Version == m.Digest() {
			m.agreed.Store(int64(now))
		}
	}
	last := m.exchanged.Load()
	if !shouldExchange(now, time.Duration(m.agreed.Load()), time.Duration(last)) {
		return
	}
	if m.exchanged.CompareAndSwap(last, int64(now)) {
		m.startExchange(sender)
	}
}

// shouldExchange says whether views are to be exchanged, from the times of the last agreement and
// of the last exchange.
func shouldExchange(now, agreed, exchanged time.Duration) bool {
	return now-agreed > exchangeAfter && now-exchanged > exchangeAfter
}

// Advertise sends the current document versions and updates to a few random members at once.
func (m *Membership) Advertise() { m.do((*swim.State).Advertise) }

// Merge applies another daemon's records.
func (m *Membership) Merge(members []*peer.Member) {
	m.do(func(s *swim.State) { s.Merge(m.now(), members) })
}
