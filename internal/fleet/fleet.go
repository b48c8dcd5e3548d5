package fleet

import (
	"context"
	"net"
	"net/netip"
	"strings"
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
	// FillReport adds the daemon's own load; that of model engines only when full is set.
	FillReport(r *peer.Report, full bool)
	// HandleReport takes the load of another daemon.
	HandleReport(*peer.Report)
	// HandleDatagram takes a message of the scheduling protocol.
	HandleDatagram(d *peer.Datagram, from netip.AddrPort)
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
	socket      *net.UDPConn
	dirty       chan struct{}

	// publishMu serializes calls of Changed.
	publishMu sync.Mutex

	mu       sync.Mutex
	state    *State
	members  *Members
	self     peer.DaemonState
	sequence uint64
	silent   map[string]bool
	// recent are keys that changed lately; reports carry them until their time is up.
	recent []recentChange
	// registered are the daemons with a key in the last listing.
	registered map[string]bool
	// contact is when the store last answered; failing says that the last call has failed.
	contact time.Time
	failing bool
	// watchFrom is the revision up to which this daemon has itself read the store.
	watchFrom int64
	pulling   bool
	pullAt    time.Time
}

// New returns a Fleet that knows nothing yet. It binds the address for reports.
func New(o Options) (*Fleet, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Self.ReportAddress)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", address)
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
	go f.exchange(ctx)
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
		f.announceState()
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

// Schedulers returns the daemons that may place requests, the one to ask first at the front, and whether
// the first one is this daemon.
func (f *Fleet) Schedulers() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Schedulers(time.Now(), f.self == peer.DaemonState_DAEMON_STATE_READY)
}

// Self returns this daemon's identity and incarnation.
func (f *Fleet) Self() (*peer.Identity, uint64) { return f.o.Self, f.incarnation }

// Size returns the number of live daemons with this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members.Live(time.Now())) + 1
}

// StoreAge returns the time since the store last answered this daemon or a watcher that it hears.
func (f *Fleet) StoreAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	contact := f.contact
	for _, member := range f.members.Live(now) {
		if member.StoreContact.After(contact) {
			contact = member.StoreContact
		}
	}
	return now.Sub(contact)
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
		view = f.state.View(now)
		if next := f.state.NextLapse(now); !next.IsZero() {
			time.AfterFunc(next.Sub(now), func() { f.change(func(time.Time, *State) bool { return true }) })
		}
	}
	f.mu.Unlock()
	if view == nil {
		return
	}
	old := f.view.Load()
	f.logChange(old, view)
	f.view.Store(view)
	f.o.Changed(view)
	if view.Revision > old.Revision {
		f.announce(old.Revision)
	}
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

// learnDaemons reads the daemons' keys of a listing.
func (f *Fleet) learnDaemons(listed []platform.KeyValue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered = map[string]bool{}
	for _, kv := range listed {
		name, ok := strings.CutPrefix(kv.Key, f.o.Codec.DaemonPrefix)
		if !ok {
			continue
		}
		f.registered[name] = true
		id := &peer.Identity{}
		if err := proto.Unmarshal(kv.Value, id); err != nil {
			f.o.Log.Warn("the key of a daemon was ignored", "key", kv.Key, "error", err)
			continue
		}
		f.members.Learn(id)
	}
}
