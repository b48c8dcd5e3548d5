package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// The simulation runs fleets in virtual time over links with a rate, a delay and losses, and processors with a share of
// a core. It has no sockets: a datagram and a Sync call take the time of their bytes on both links.

const (
	simDelay      = 1400 * time.Microsecond
	simStoreDelay = 4 * time.Millisecond
	// simDatagramCost is the processor time of a datagram on a whole core.
	simDatagramCost = 10 * time.Microsecond
	// simMaxQueue is the backlog of a link above which it loses datagrams.
	simMaxQueue = 500 * time.Millisecond
)

// simClass is a class of VMs.
type simClass struct {
	capacity    uint32
	bytesPerSec float64
}

var (
	simLarge = simClass{capacity: 800, bytesPerSec: 200e6 / 8}
	simSmall = simClass{capacity: 192, bytesPerSec: 20e6 / 8}
)

// simFleet is a fleet of daemons, their network and their store.
type simFleet struct {
	t     *testing.T
	store *simStore

	mu      sync.Mutex
	rng     *rand.Rand
	loss    float64
	daemons []*simDaemon
	byAddr  map[string]*simDaemon
}

// simDaemon is a daemon with its link. It implements DatagramSocket. simFleet.mu guards the fields below fleet.
type simDaemon struct {
	*Fleet
	sim     *simFleet
	class   simClass
	address netip.AddrPort
	inbox   chan simPacket
	closed  chan struct{}
	cancel  context.CancelFunc

	dead         bool
	noStore      bool
	sendFree     time.Time
	receiveFree  time.Time
	bytesSent    int
	packetsSent  int
	inForceSince map[int64]time.Time
}

type simPacket struct {
	data []byte
	from netip.AddrPort
}

func newSimFleet(t *testing.T, seed uint64) *simFleet {
	return &simFleet{t: t, store: newSimStore(), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*simDaemon{}}
}

// simCodec decodes a table whose value is its version, a newline and any text.
func simCodec() Codec {
	codec := testCodec
	codec.DecodeTable = func(raw []byte) (*traffic.Table, error) {
		version, _, _ := strings.Cut(string(raw), "\n")
		v, err := strconv.ParseInt(version, 10, 64)
		return &traffic.Table{Version: v}, err
	}
	return codec
}

// start starts n daemons, one of 20 of them large, within 300 ms, in five availability zones.
func (s *simFleet) start(n int) {
	address := func(i, port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", i%5+1, i/250, i%250+1, port) }
	seeds := []string{address(1, 2), address(2, 2), address(3, 2)}
	for i := range n {
		class := simSmall
		if i%20 == 0 {
			class = simLarge
		}
		s.startOne(&peer.Identity{
			Daemon: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: class.capacity,
			EntryAddress: address(i, 1), ControlAddress: address(i, 2), ReportAddress: address(i, 3),
		}, class, seeds)
		time.Sleep(300 * time.Millisecond / time.Duration(n))
	}
}

func (s *simFleet) startOne(self *peer.Identity, class simClass, seeds []string) *simDaemon {
	d := &simDaemon{
		sim: s, class: class, address: netip.MustParseAddrPort(self.ReportAddress), inbox: make(chan simPacket, 4096),
		closed: make(chan struct{}), inForceSince: map[int64]time.Time{},
	}
	var err error
	d.Fleet, err = New(Options{
		Self: self, Codec: simCodec(), KV: &simKV{d}, Peers: simPeers{d}, Seeds: seeds, MinLeaseTTL: time.Second, DrainBound: 4 * time.Second,
		Socket: d, Reporter: simReporter{}, OnViewChange: d.viewChanged, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.byAddr[self.ReportAddress], s.byAddr[self.ControlAddress] = d, d
	s.mu.Unlock()
	d.Start(ctx)
	return d
}

type simReporter struct{}

func (simReporter) FillReport(*peer.Report, bool)                 {}
func (simReporter) HandleReport(*peer.Report)                     {}
func (simReporter) ForgetDaemon(string)                           {}
func (simReporter) HandleDatagram(*peer.Datagram, netip.AddrPort) {}

func (d *simDaemon) viewChanged(v *View) {
	if v.Table == nil {
		return
	}
	d.sim.mu.Lock()
	if _, ok := d.inForceSince[v.Table.Version]; !ok {
		d.inForceSince[v.Table.Version] = time.Now()
	}
	d.sim.mu.Unlock()
	if d.Starting() {
		go d.SetState(peer.DaemonState_DAEMON_STATE_READY)
	}
}

// stop ends all daemons.
func (s *simFleet) stop() {
	for _, d := range s.daemons {
		d.kill()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// kill ends a daemon without notice.
func (d *simDaemon) kill() {
	d.sim.mu.Lock()
	d.dead = true
	d.sim.mu.Unlock()
	d.cancel()
}

// transfer occupies both links for a message and returns the time until it has arrived. ok is false if it is lost.
func (s *simFleet) transfer(from, to *simDaemon, size int, reliable bool) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if from.dead || to == nil {
		return 0, false
	}
	backlog := max(from.sendFree.Sub(now), 0)
	if !reliable && (backlog > simMaxQueue || s.rng.Float64() < s.loss) {
		return 0, false
	}
	from.bytesSent += size
	from.packetsSent++
	sent := now.Add(backlog + from.duration(size))
	from.sendFree = sent
	arrived := sent.Add(simDelay)
	if to.receiveFree.After(arrived) {
		arrived = to.receiveFree
	}
	arrived = arrived.Add(to.duration(size))
	to.receiveFree = arrived
	return arrived.Sub(now), !to.dead
}

// duration returns the time that a message occupies a link and the processor.
func (d *simDaemon) duration(size int) time.Duration {
	cost := simDatagramCost * 1000 / time.Duration(d.class.capacity)
	return max(time.Duration(float64(size)/d.class.bytesPerSec*float64(time.Second)), cost)
}

// WriteToUDPAddrPort implements DatagramSocket.
func (d *simDaemon) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s := d.sim
	s.mu.Lock()
	target := s.byAddr[to.String()]
	s.mu.Unlock()
	wait, ok := s.transfer(d, target, len(b), false)
	if ok {
		p := simPacket{data: slices.Clone(b), from: d.address}
		time.AfterFunc(wait, func() {
			select {
			case target.inbox <- p:
			default:
			}
		})
	}
	return len(b), nil
}

// ReadFromUDPAddrPort implements DatagramSocket.
func (d *simDaemon) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-d.inbox:
		return copy(b, p.data), p.from, nil
	case <-d.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// Close implements DatagramSocket.
func (d *simDaemon) Close() error {
	close(d.closed)
	return nil
}

// simPeers implements cluster.Peers for one daemon.
type simPeers struct{ from *simDaemon }

func (p simPeers) Client(_ context.Context, m *peer.Member) (peer.DRPCPeerClient, error) {
	p.from.sim.mu.Lock()
	defer p.from.sim.mu.Unlock()
	return simClient{from: p.from, to: p.from.sim.byAddr[m.PeerAddress]}, nil
}

type simClient struct {
	peer.DRPCPeerClient
	from, to *simDaemon
}

// Sync sends the request and the reply over the links. A call that is given up still occupies them.
func (c simClient) Sync(ctx context.Context, r *peer.SyncRequest) (*peer.SyncReply, error) {
	wait, ok := c.from.sim.transfer(c.from, c.to, proto.Size(r), true)
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleepContext(ctx, wait)
	reply, err := c.to.Fleet.Sync(ctx, r)
	if err != nil {
		return nil, err
	}
	if wait, ok = c.from.sim.transfer(c.to, c.from, proto.Size(reply), true); !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleepContext(ctx, wait)
	return reply, ctx.Err()
}

// simStore is a key-value store.
type simStore struct {
	mu       sync.Mutex
	revision int64
	events   []platform.KeyValue
	items    map[string]platform.KeyValue
	changed  chan struct{}
	calls    int
	byKind   map[string]int
	down     bool
}

func newSimStore() *simStore {
	return &simStore{revision: 10, items: map[string]platform.KeyValue{}, changed: make(chan struct{}), byKind: map[string]int{}}
}

func (s *simStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	kv := platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	s.items[key] = kv
	s.events = append(s.events, kv)
	close(s.changed)
	s.changed = make(chan struct{})
}

// simKV is the access of one daemon to the store.
type simKV struct{ d *simDaemon }

// call counts a call and waits for the reply.
func (k *simKV) call(ctx context.Context, kind string) error {
	sleepContext(ctx, simStoreDelay)
	s := k.d.sim.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.byKind[kind]++
	if s.down || k.d.noStore || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func (k *simKV) Range(ctx context.Context, r platform.RangeRequest) (platform.RangeReply, error) {
	kind := "range"
	if r.Stale {
		kind = "stale range"
	}
	if err := k.call(ctx, kind); err != nil {
		return platform.RangeReply{}, err
	}
	s := k.d.sim.store
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.RangeReply{Revision: s.revision}
	for _, kv := range s.items {
		reply.KVs = append(reply.KVs, kv)
	}
	return reply, nil
}

func (k *simKV) Watch(ctx context.Context, _ string, from int64) (<-chan platform.WatchReply, error) {
	replies := make(chan platform.WatchReply)
	go func() {
		defer close(replies)
		for ctx.Err() == nil {
			reply := k.poll(ctx, from)
			from = max(from, reply.Revision+1)
			select {
			case replies <- reply:
			case <-ctx.Done():
			}
			if reply.Err != nil {
				return
			}
		}
	}()
	return replies, nil
}

// poll waits for up to 2 s for events.
func (k *simKV) poll(ctx context.Context, from int64) platform.WatchReply {
	s := k.d.sim.store
	s.mu.Lock()
	changed, current := s.changed, s.revision
	s.mu.Unlock()
	if current < from {
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
		}
	}
	if err := k.call(ctx, "watch"); err != nil {
		return platform.WatchReply{Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platform.WatchReply{Revision: s.revision}
	for _, kv := range s.events {
		if kv.ModRevision >= from {
			reply.Events = append(reply.Events, platform.Event{KV: kv})
		}
	}
	return reply
}

func (k *simKV) Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error) {
	if err := k.call(ctx, "txn"); err != nil {
		return platform.TxnReply{}, err
	}
	for _, op := range t.Then {
		k.d.sim.store.put(op.Key, op.Value)
	}
	return platform.TxnReply{Succeeded: true}, nil
}

func (k *simKV) Grant(ctx context.Context, _ time.Duration) (platform.LeaseID, error) {
	return 1, k.call(ctx, "grant")
}

func (k *simKV) KeepAlive(ctx context.Context, _ platform.LeaseID) (time.Duration, error) {
	return time.Minute, k.call(ctx, "keep")
}

func (k *simKV) Revoke(ctx context.Context, _ platform.LeaseID) error { return k.call(ctx, "revoke") }
