package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

// Reporter fills in and reads the part of a report that belongs to the request path.
type Reporter interface {
	// FillReport adds the daemon's own load.
	FillReport(*peer.Report)
	// HandleReport takes the load of another daemon.
	HandleReport(*peer.Report)
	// ForgetDaemon drops the load of a daemon that is silent.
	ForgetDaemon(daemon string)
}

// Options hold what a Fleet needs.
type Options struct {
	Self  *peer.Identity
	Codec Codec
	KV    platform.KV
	Peers cluster.Peers
	// Seeds are control addresses of daemons that may be stale or down.
	Seeds []string
	// DrainBound is the time after which an endpoint that left must receive no new request.
	DrainBound time.Duration
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	Reporter    Reporter
	// Changed is called with each new view, one at a time.
	Changed func(*View)
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Fleet keeps the view and the members up to date. mu guards state, members and the fields below it; it is
// not held over I/O or while Changed runs. Lock order: publishMu before mu.
type Fleet struct {
	o           Options
	incarnation uint64
	view        atomic.Pointer[View]
	socket      net.PacketConn
	dirty       chan struct{}

	// publishMu serializes calls of Changed.
	publishMu sync.Mutex

	mu       sync.Mutex
	state    *State
	members  *Members
	self     peer.DaemonState
	sequence uint64
	silent   map[string]bool
	// contact is when the store last answered; contactLost is the start of an outage.
	contact time.Time
	pulling bool
	pullAt  time.Time
}

// New returns a Fleet that knows nothing yet. It binds the address for reports.
func New(o Options) (*Fleet, error) {
	socket, err := net.ListenPacket("udp4", o.Self.ReportAddress)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		o: o, incarnation: uint64(time.Now().UnixNano()), socket: socket, dirty: make(chan struct{}, 1),
		members: NewMembers(o.Self), self: peer.DaemonState_DAEMON_STATE_STARTING, silent: map[string]bool{},
	}
	f.state = NewState(o.Codec, func(key string, err error) {
		f.count("chivewind_store_rejected_values_total")
		o.Log.Warn("a value of the store was ignored", "key", key, "error", err)
	})
	f.state.SetDrainBound(o.DrainBound)
	f.view.Store(f.state.View(time.Now()))
	return f, nil
}

func (f *Fleet) count(name string) { metrics.GetOrRegisterCounter(name, f.o.Metrics).Inc(1) }

// View returns the present view.
func (f *Fleet) View() *View { return f.view.Load() }

// Start runs the workers until ctx ends.
func (f *Fleet) Start(ctx context.Context) {
	go f.receive()
	go f.report(ctx)
	go f.follow(ctx)
	go f.join(ctx)
	go f.register(ctx)
	context.AfterFunc(ctx, func() { _ = f.socket.Close() })
}

// SetState announces whether the daemon takes requests.
func (f *Fleet) SetState(s peer.DaemonState) {
	f.mu.Lock()
	changed := f.self != s
	f.self = s
	f.mu.Unlock()
	if changed {
		f.o.Log.Info("daemon state changed", "state", s.String())
		f.sendAll(f.nextReport(true))
	}
}

// Ready says whether the daemon takes requests.
func (f *Fleet) Ready() bool { return f.inState(peer.DaemonState_DAEMON_STATE_READY) }

// Starting says whether the daemon has never been ready.
func (f *Fleet) Starting() bool { return f.inState(peer.DaemonState_DAEMON_STATE_STARTING) }

func (f *Fleet) inState(s peer.DaemonState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self == s
}

// MarkDirty asks for a report soon, because the load has changed.
func (f *Fleet) MarkDirty() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// EntryAddresses returns the addresses for callers of an availability zone.
func (f *Fleet) EntryAddresses(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.EntryAddresses(time.Now(), zone, f.self == peer.DaemonState_DAEMON_STATE_READY)
}

// Size returns the number of live daemons with this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.Live(time.Now())) + 1
}

// StoreAge returns the time since the store last answered.
func (f *Fleet) StoreAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contact)
}

// change runs an update of the state and publishes a new view when it says that something changed.
func (f *Fleet) change(update func(now time.Time, s *State) bool) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	now := time.Now()
	f.mu.Lock()
	changed := update(now, f.state)
	var view *View
	if changed {
		f.learnDaemons()
		view = f.state.View(now)
		if next := f.state.NextLapse(now); !next.IsZero() {
			time.AfterFunc(next.Sub(now), func() { f.change(func(time.Time, *State) bool { return true }) })
		}
	}
	f.mu.Unlock()
	if view == nil {
		return
	}
	f.logChange(f.view.Load(), view)
	f.view.Store(view)
	f.o.Changed(view)
	f.MarkDirty()
}

// logChange writes a line for a new routing table and for endpoints that came or left.
func (f *Fleet) logChange(old, now *View) {
	if now.Table != old.Table {
		f.o.Log.Info("routing table in force", "version", now.Table.Version, "revision", now.Revision)
	}
	for id, e := range now.Endpoints {
		if before, ok := old.Endpoints[id]; !ok || before.State != e.State {
			f.o.Log.Info("endpoint known", "endpoint", id, "pool", e.Pool, "address", e.Address, "draining", e.State != 0, "revision", now.Revision)
		}
	}
	for id := range old.Endpoints {
		if _, ok := now.Endpoints[id]; !ok {
			f.o.Log.Info("endpoint gone", "endpoint", id, "revision", now.Revision)
		}
	}
}

// learnDaemons reads the daemons' keys. mu is held.
func (f *Fleet) learnDaemons() {
	for _, raw := range f.state.Daemons() {
		id := &peer.Identity{}
		if err := proto.Unmarshal(raw, id); err != nil {
			f.o.Log.Warn("the key of a daemon was ignored", "error", err)
			continue
		}
		f.members.Learn(id)
	}
}
