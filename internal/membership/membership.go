// Package membership maintains this daemon's view of the cluster. It runs the SWIM state machine of
// package swim over UDP, joins and leaves the cluster, and detects pauses of this process. Every SWIM
// packet is also a heartbeat: it carries document versions, the members digest and shard loads.
//
// A mutex guards the state machine. It is not held during I/O or subscriber callbacks; readers load
// an immutable view without locking.
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

// tickInterval is well below swim.Config.AckTimeout, so that timeouts are detected promptly.
const tickInterval = 100 * time.Millisecond

// PauseThreshold is the time without a tick after which the process is considered to have been
// paused.
const PauseThreshold = 2 * time.Second

// MembersDigestName is the reserved name of the members digest in lists of document versions.
const MembersDigestName = "."

// divergenceTimeout is how long all received heartbeats must have carried a members digest other than
// this daemon's own before it exchanges views with a sender. It is also the minimum time between such
// exchanges.
const divergenceTimeout = 5 * time.Second

// Config configures a Membership.
type Config struct {
	// Self describes this daemon. Incarnation 0 is replaced by the wall clock in milliseconds, so
	// that a restarted daemon supersedes its earlier record.
	Self *peer.Member
	// Listen is the UDP address to bind. Default: Self.GossipAddress.
	Listen string
	// Transport replaces the UDP socket, for tests.
	Transport Transport
	// ClusterKey authenticates packets; empty means no authentication.
	ClusterKey []byte
	// Join lists the peer addresses (host:port over TCP) of daemons through which to join.
	Join []string
	// VMAddresses returns peer addresses taken from the VM list; it may be nil.
	VMAddresses func(context.Context) ([]string, error)
	// Peers connects to other daemons for announcements.
	Peers cluster.Peers
	// Protocol holds the timing and the limits of SWIM. Zero means swim.DefaultConfig.
	Protocol swim.Config
	// Seed makes the random choices of the SWIM state machine reproducible in tests; 0 means a random
	// seed. The choice of daemons to sync with is random in any case.
	Seed    uint64
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Documents is the document replication that uses the heartbeats. Package replica implements it.
type Documents interface {
	// HeartbeatVersions returns the document versions to add to one packet.
	HeartbeatVersions() []*peer.DocumentVersion
	// ObserveVersions processes the document versions of a received packet. It must not block.
	ObserveVersions(from *peer.Member, versions []*peer.DocumentVersion)
	// SyncWith exchanges members and documents with a member, of which only the peer address may be
	// known.
	SyncWith(ctx context.Context, member *peer.Member) error
}

// Membership implements cluster.Members.
type Membership struct {
	cfg       Config
	codec     codec
	transport Transport
	log       hclog.Logger
	counters  counters
	started   time.Time

	documents    Documents
	shardLoads   func() []*peer.ShardLoad
	observeLoads func(from string, loads []*peer.ShardLoad)

	view      atomic.Pointer[view]
	lastTick  atomic.Int64
	viewFresh atomic.Bool
	// recoveryMu guards pauseSeq and all changes of viewFresh after New, and keeps exchanges from
	// starting while Stop waits for them.
	recoveryMu sync.Mutex
	// pauseSeq is the number of detected pauses, which identifies the latest one.
	pauseSeq int
	// lastAgreement is when a heartbeat last carried this daemon's own members digest, and
	// lastExchange is when an exchange of views last began because the digests differed. Both are
	// values of now in nanoseconds.
	lastAgreement atomic.Int64
	lastExchange  atomic.Int64
	joined        chan struct{}
	joinOnce      sync.Once
	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup

	mu    sync.Mutex
	state *swim.State

	subscribersMu sync.Mutex
	subscribers   []func()
}

var _ cluster.Members = (*Membership)(nil)

// New returns a Membership that contains only this daemon. It binds the UDP socket unless
// Config.Transport is set.
func New(cfg Config) (*Membership, error) {
	if cfg.Self == nil || cfg.Self.Id == "" {
		return nil, errors.New("membership: Config.Self has no id")
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
		counters: newCounters(cfg.Metrics), started: time.Now(), joined: make(chan struct{}),
		state: swim.New(cfg.Protocol, cfg.Self, rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))),
	}
	m.viewFresh.Store(true)
	m.lastTick.Store(int64(m.now()))
	m.view.Store(newView(m.state))
	return m, nil
}

// SetDocuments attaches the document replication. It must be called before Start.
func (m *Membership) SetDocuments(d Documents) { m.documents = d }

// SetShardLoads sets the source and the receiver of the shard loads in heartbeats; either may be nil. It
// must be called before Start.
func (m *Membership) SetShardLoads(
	source func() []*peer.ShardLoad, observe func(from string, loads []*peer.ShardLoad),
) {
	m.shardLoads = source
	m.observeLoads = observe
}

// Start begins probing, answering and joining.
func (m *Membership) Start(ctx context.Context) error {
	if m.documents == nil {
		return errors.New("membership: SetDocuments was not called before Start")
	}
	// The caller may cancel ctx before it calls Stop, but probes must be answered until Stop.
	ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	m.ctx = ctx
	m.lastTick.Store(int64(m.now()))
	m.running.Go(func() { m.tickLoop(ctx) })
	m.running.Go(m.receiveLoop)
	m.running.Go(func() { m.joinLoop(ctx) })
	return nil
}

// Stop closes the transport and waits for the background work. If this daemon is leaving, it first
// tells a few random members that it has left.
func (m *Membership) Stop(context.Context) error {
	if m.Self().State == peer.MemberState_MEMBER_STATE_LEAVING {
		m.update(func(s *swim.State) {
			s.Leave(true)
			s.Advertise()
		})
	}
	if m.cancel != nil {
		// The lock keeps startExchange from adding an exchange while Stop waits for them.
		m.recoveryMu.Lock()
		m.cancel()
		m.recoveryMu.Unlock()
	}
	err := m.transport.Close()
	m.running.Wait()
	return err
}

// now returns the time since New, which is the clock of the state machine.
func (m *Membership) now() time.Duration { return time.Since(m.started) }

// update calls f on the state machine, sends the resulting packets and publishes a changed view.
func (m *Membership) update(f func(*swim.State)) {
	m.mu.Lock()
	f(m.state)
	out := m.state.TakePackets()
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

// send adds document versions and shard loads to a packet and sends it. Errors are only counted,
// since datagrams may be lost anyway.
func (m *Membership) send(e swim.Envelope) {
	e.Packet.Versions = append(m.documents.HeartbeatVersions(),
		&peer.DocumentVersion{Name: MembersDigestName, Version: m.Digest()})
	if m.shardLoads != nil {
		e.Packet.Loads = m.shardLoads()
	}
	trimPacket(e.Packet, MaxPacketBytes-m.codec.overhead())
	payload, err := m.codec.encode(e.Packet)
	if err == nil {
		err = m.transport.Send(e.Address, payload)
	}
	if err != nil {
		m.counters.sendErrors.Inc(1)
		return
	}
	m.counters.packetsSent.Inc(1)
	m.counters.bytesSent.Inc(int64(len(payload)))
}

// trimPacket drops loads, then versions except the first, then updates until the packet fits into
// limit bytes or none of these are left.
func trimPacket(p *peer.Packet, limit int) {
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
			// A daemon that stopped receiving after one failed read would be declared dead.
			m.counters.receiveErrors.Inc(1)
			time.Sleep(tickInterval)
			continue
		}
		m.counters.packetsReceived.Inc(1)
		m.counters.bytesReceived.Inc(int64(n))
		p, err := m.codec.decode(buf[:n])
		if err != nil {
			m.counters.rejected.Inc(1)
			continue
		}
		m.handle(from, p)
	}
}

func (m *Membership) handle(from string, p *peer.Packet) {
	m.update(func(s *swim.State) { s.Handle(m.now(), from, p) })
	if sender := m.view.Load().find(p.From); sender != nil && len(p.Versions) > 0 {
		m.documents.ObserveVersions(sender, p.Versions)
		m.exchangeIfDiverged(sender, p.Versions)
	}
	if m.observeLoads != nil && len(p.Loads) > 0 {
		m.observeLoads(p.From, p.Loads)
	}
}

// exchangeIfDiverged exchanges views with the sender if no heartbeat has carried this daemon's
// members digest for divergenceTimeout. With gossip alone, a large cluster would need minutes to
// converge after a partition has healed.
func (m *Membership) exchangeIfDiverged(sender *peer.Member, versions []*peer.DocumentVersion) {
	now := m.now()
	for _, v := range versions {
		if v.Name == MembersDigestName && v.Version == m.Digest() {
			m.lastAgreement.Store(int64(now))
		}
	}
	last := m.lastExchange.Load()
	if !shouldExchange(now, time.Duration(m.lastAgreement.Load()), time.Duration(last)) {
		return
	}
	if m.lastExchange.CompareAndSwap(last, int64(now)) {
		m.startExchange(sender)
	}
}

// shouldExchange reports whether to exchange views, given the times of the last matching digest and
// of the last exchange.
func shouldExchange(now, lastAgreement, lastExchange time.Duration) bool {
	return now-lastAgreement > divergenceTimeout && now-lastExchange > divergenceTimeout
}

// Advertise immediately sends the current document versions and member updates to a few random
// members.
func (m *Membership) Advertise() { m.update((*swim.State).Advertise) }

// Merge applies the member records of another daemon.
func (m *Membership) Merge(members []*peer.Member) {
	m.update(func(s *swim.State) { s.Merge(m.now(), members) })
}
