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

	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	// seeds are the control addresses with which daemons start.
	seeds []string
	// pauseAfterSeeds is the time between the start of the seeds and that of the other daemons.
	pauseAfterSeeds time.Duration
	// class, if not nil, is the class of all VMs.
	class   *simClass
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
	news    *simNews

	dead    bool
	noStore bool
	// storeSilent is set when calls to the store get no reply, and storeSilences counts how often that has begun.
	storeSilent   bool
	storeSilences int
	sendFree      time.Time
	receiveFree   time.Time
	bytes         int
	inForceSince  map[int64]time.Time
	// version is that of the table in force, and wentBack is set if it has ever decreased.
	version  int64
	wentBack bool
}

type simPacket struct {
	data []byte
	from netip.AddrPort
}

func newSimFleet(t *testing.T, seed uint64) *simFleet {
	return &simFleet{
		t: t, store: newSimStore(), rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*simDaemon{},
		seeds: []string{simAddress(1, 2), simAddress(2, 2), simAddress(3, 2)},
	}
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

// start starts n daemons, one of 20 of them large, within 300 ms, in five availability zones. If there is a pause after
// the seeds, these start first.
func (s *simFleet) start(n int) {
	var seeds, others []int
	for i := range n {
		if s.pauseAfterSeeds > 0 && slices.Contains(s.seeds, simAddress(i, 2)) {
			seeds = append(seeds, i)
		} else {
			others = append(others, i)
		}
	}
	for _, i := range seeds {
		s.startNumber(i)
	}
	time.Sleep(s.pauseAfterSeeds)
	for _, i := range others {
		s.startNumber(i)
		time.Sleep(300 * time.Millisecond / time.Duration(n))
	}
}

func simAddress(i, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", i%5+1, i/250, i%250+1, port)
}

func (s *simFleet) startNumber(i int) {
	class := simSmall
	if i%20 == 0 {
		class = simLarge
	}
	if s.class != nil {
		class = *s.class
	}
	s.startOne(&peer.Identity{
		Daemon: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: class.capacity,
		EntryAddress: simAddress(i, 1), ControlAddress: simAddress(i, 2), ReportAddress: simAddress(i, 3),
	}, class, s.seeds)
}

func (s *simFleet) startOne(self *peer.Identity, class simClass, seeds []string) *simDaemon {
	d := &simDaemon{
		sim: s, class: class, address: netip.MustParseAddrPort(self.ReportAddress), inbox: make(chan simPacket, 4096),
		closed: make(chan struct{}), inForceSince: map[int64]time.Time{},
	}
	d.news = &simNews{d: d, learnedAt: map[uint32]time.Time{}}
	var err error
	d.Fleet, err = New(Options{
		Self: self, Codec: simCodec(), KV: &simKV{d}, Peers: simPeers{d}, Seeds: seeds, MinLeaseTTL: time.Second, DrainBound: 4 * time.Second,
		Socket: d, Reporter: d.news, OnViewChange: d.viewChanged, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
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
	d.wentBack = d.wentBack || v.Table.Version < d.version
	d.version = v.Table.Version
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

// silenceStore leaves all further calls of a daemon to the store, and those in progress, without a reply.
func (d *simDaemon) silenceStore() {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	d.storeSilent = true
	d.storeSilences++
}

// restoreStore ends what silenceStore began. Calls made before get no reply.
func (d *simDaemon) restoreStore() {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	d.storeSilent = false
}

// silences returns how often the store has fallen silent, and whether it is silent.
func (d *simDaemon) silences() (int, bool) {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return d.storeSilences, d.storeSilent
}

// setLoss sets the share of datagrams that are lost.
func (s *simFleet) setLoss(loss float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = loss
}

// bytesSent returns the number of bytes that each daemon has sent.
func (s *simFleet) bytesSent() map[*simDaemon]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := map[*simDaemon]int{}
	for _, d := range s.daemons {
		sent[d] = d.bytes
	}
	return sent
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
	from.bytes += size
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
