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

// Reporter is implemented by the request path. It supplies and consumes the load in reports.
type Reporter interface {
	// FillReport adds the local daemon's load to r. If full is false, it leaves out the load of model engines, the
	// demand and the cached prompt parts.
	FillReport(r *peer.Report, full bool)
	// HandleReport processes the load reported by another daemon.
	HandleReport(*peer.Report)
	// HandleDatagram processes a scheduling message received from the given address.
	HandleDatagram(d *peer.Datagram, from netip.AddrPort)
	// ForgetDaemon discards the load of a daemon that has become silent.
	ForgetDaemon(daemon string)
}

// DatagramSocket sends and receives datagrams. It is implemented by net.UDPConn.
type DatagramSocket interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Options configures a Fleet.
type Options struct {
	Self  *peer.Identity
	Codec Codec
	KV    platform.KV
	Peers cluster.Peers
	// Seeds lists control addresses of other daemons. They may be stale or unreachable.
	Seeds []string
	// DrainBound is the time after which a removed endpoint must receive no new requests.
	DrainBound time.Duration
	// MinLeaseTTL is the shortest TTL that the store grants to a lease.
	MinLeaseTTL time.Duration
	// Socket is used for reports and scheduling messages. If it is nil, New binds the report address of Self.
	Socket   DatagramSocket
	Reporter Reporter
	// OnViewChange is called with each new view. Calls are serialized.
	OnViewChange func(*View)
	// OnOtherKey, if not nil, is called with keys of the store that are neither the routing table nor an endpoint's nor a
	// daemon's, as this daemon reads them. A daemon that watches the store reads all of them.
	OnOtherKey func(platform.KeyValue)
	// OnStoreReturned, if not nil, is called when this daemon learns that the store has come back from an older copy. It must
	// not block.
	OnStoreReturned func()
	Log             hclog.Logger
	Metrics         metrics.Registry
}

// Fleet maintains the view of the store and the list of members. mu guards the fields declared below it and is
// not held during I/O or calls of OnViewChange. Lock order: publishMu before mu.
type Fleet struct {
	opts          Options
	incarnation   uint64
	view          atomic.Pointer[View]
	socket        DatagramSocket
	reportPending chan struct{}

	// publishMu serializes updates of view and calls of OnViewChange.
	publishMu sync.Mutex

	mu             sync.Mutex
	state          *State
	members        *Members
	selfState      peer.DaemonState
	reportSequence uint64
	// recentChanges holds recently changed entries, which reports include until they expire.
	recentChanges []recentChange
	// nextAnnouncementAt is the earliest time of the next report that announces changes. announcementPending is set while
	// one is scheduled.
	nextAnnouncementAt  time.Time
	announcementPending bool
	// lastStoreReply is when the store last replied. storeFailing is set when the last call to it failed.
	lastStoreReply time.Time
	storeFailing   bool
	// readRevision is the revision up to which this daemon has itself read the store, without changes received from
	// other daemons.
	readRevision int64
	pulling      bool
	nextPullAt   time.Time
	pullTimeout  time.Duration
	// pullFailures counts the pulls of a newer state that have failed in a row, and caughtUpAt is when this daemon last read the
	// store because of them.
	pullFailures int
	caughtUpAt   time.Time
}

// New returns a Fleet with an empty view. It returns an error if the report address cannot be bound.
func New(opts Options) (*Fleet, error) {
	if opts.Socket == nil {
		address, err := net.ResolveUDPAddr("udp4", opts.Self.ReportAddress)
		if err != nil {
			return nil, err
		}
		if opts.Socket, err = net.ListenUDP("udp4", address); err != nil {
			return nil, err
		}
	}
	f := &Fleet{
		opts: opts, incarnation: uint64(time.Now().UnixNano()), socket: opts.Socket, reportPending: make(chan struct{}, 1),
		members: NewMembers(opts.Self), selfState: peer.DaemonState_DAEMON_STATE_STARTING,
		pullTimeout: minPullTimeout,
	}
	f.state = NewState(opts.Codec, func(key string, err error) {
		f.incCounter("chivewind_store_rejected_values_total")
		opts.Log.Warn("a value of the store was ignored", "key", key, "error", err)
	})
	f.state.SetDrainBound(opts.DrainBound)
	f.view.Store(f.state.View(time.Now()))
	return f, nil
}

func (f *Fleet) incCounter(name string) { metrics.GetOrRegisterCounter(name, f.opts.Metrics).Inc(1) }

// View returns the current view.
func (f *Fleet) View() *View { return f.view.Load() }

// Start starts the background workers, which run until ctx is canceled.
func (f *Fleet) Start(ctx context.Context) {
	go f.receiveLoop()
	go f.reportLoop(ctx)
	go f.publishRosterLoop(ctx)
	go f.pullRosterLoop(ctx)
	go f.replicateStore(ctx)
	go f.runAntiEntropy(ctx)
	go f.keepRegistered(ctx)
	context.AfterFunc(ctx, f.Close)
}

// Close closes the socket for reports. When the context of Start is canceled, the socket is closed as well.
func (f *Fleet) Close() { _ = f.socket.Close() }

// SetState sets the state of this daemon and announces it to the other daemons when it changes. A daemon that is leaving
// stays so, also if it becomes ready at the same moment.
func (f *Fleet) SetState(s peer.DaemonState) {
	f.mu.Lock()
	changed := f.selfState != s && f.selfState != peer.DaemonState_DAEMON_STATE_LEAVING
	if changed {
		f.selfState = s
	}
	f.mu.Unlock()
	if changed {
		f.opts.Log.Info("daemon state changed", "state", s.String())
		f.announceState()
	}
}

// Ready reports whether this daemon is ready: no longer starting, and not leaving. A leaving daemon still accepts
// requests for a short time.
func (f *Fleet) Ready() bool { return f.inState(peer.DaemonState_DAEMON_STATE_READY) }

// Starting reports whether this daemon is still starting: it has been neither ready nor leaving yet.
func (f *Fleet) Starting() bool { return f.inState(peer.DaemonState_DAEMON_STATE_STARTING) }

func (f *Fleet) inState(s peer.DaemonState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selfState == s
}

// RequestReport requests a report outside the heartbeat schedule after a change of the load.
func (f *Fleet) RequestReport() {
	select {
	case f.reportPending <- struct{}{}:
	default:
	}
}

// EntryAddresses returns the entry addresses for callers in an availability zone.
func (f *Fleet) EntryAddresses(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.EntryAddresses(time.Now(), zone, f.selfState == peer.DaemonState_DAEMON_STATE_READY)
}

// Schedulers returns the ready daemons in order of preference as scheduler. The list includes this daemon if it
// is ready.
func (f *Fleet) Schedulers() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Schedulers(time.Now(), f.selfState == peer.DaemonState_DAEMON_STATE_READY)
}

// ForwardsNews reports whether this daemon passes on what it learns from the reports of others. In a large fleet only
// relays do, since all daemons report to them and they report to all.
func (f *Fleet) ForwardsNews() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.members.isLarge() || f.members.IsRelay()
}

// Self returns this daemon's identity and incarnation.
func (f *Fleet) Self() (*peer.Identity, uint64) { return f.opts.Self, f.incarnation }

// Size returns the number of known daemons, including this one and those that are silent, which may be cut off from this
// one only.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Size() + 1
}

// TimeSinceStoreReply returns the time since the store last replied to this daemon or to any live daemon.
func (f *Fleet) TimeSinceStoreReply() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	lastStoreReply := f.lastStoreReply
	for _, member := range f.members.Live(now) {
		if member.LastStoreReply.After(lastStoreReply) {
			lastStoreReply = member.LastStoreReply
		}
	}
	return now.Sub(lastStoreReply)
}

// Behind reports whether another daemon has reported a newer revision of the store than this daemon's.
func (f *Fleet) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.newestRevision > f.state.Revision()
}

// updateState runs update and publishes a new view if update reports a change. Reports then include what has changed,
// and a watcher sends one immediately.
func (f *Fleet) updateState(update func(now time.Time, s *State) bool) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	now := time.Now()
	f.mu.Lock()
	revision, tableRevision, era := f.state.Revision(), f.state.TableRevision(), f.state.era
	changed := update(now, f.state)
	var view *View
	if changed {
		view = f.state.View(now)
		if next := f.state.NextViewChange(now); !next.IsZero() {
			time.AfterFunc(next.Sub(now), func() { f.updateState(func(time.Time, *State) bool { return true }) })
		}
	}
	// Under the same lock as the update, so that no report carries the new revision without the entries.
	advanced := f.state.Revision() > revision
	if advanced && f.members.ForwardsChanges(now, watcherMaxAge) {
		f.addRecentChange(now, revision, tableRevision)
	}
	announce := advanced && f.members.MustWatch(now, watcherMaxAge)
	newEra := f.state.era
	f.mu.Unlock()
	if newEra > era && revision > 0 {
		f.recordEra(era, newEra)
	}
	if view != nil {
		f.logViewChange(f.view.Load(), view)
		f.view.Store(view)
		f.opts.OnViewChange(view)
	}
	if announce {
		f.announceChanges()
	}
}

// recordEra records that the store has come back from an older copy.
func (f *Fleet) recordEra(before, era int64) {
	f.incCounter("chivewind_store_era_changes_total")
	f.opts.Log.Warn("the store has come back from an older copy", "era", era, "before", before)
	if f.opts.OnStoreReturned != nil {
		f.opts.OnStoreReturned()
	}
}

// logViewChange logs a new routing table and endpoints that were added, removed or changed state.
func (f *Fleet) logViewChange(previous, current *View) {
	if current.Table != previous.Table {
		f.opts.Log.Info("routing table in force", "version", current.Table.Version, "revision", platform.FormatRevision(current.Revision))
	}
	for id, e := range current.Endpoints {
		if before, ok := previous.Endpoints[id]; !ok || before.State != e.State {
			f.opts.Log.Info("endpoint known", "endpoint", id, "pool", e.Pool, "address", e.Address, "draining", e.State != 0, "revision", platform.FormatRevision(current.Revision))
		}
	}
	for id := range previous.Endpoints {
		if _, ok := current.Endpoints[id]; !ok {
			f.opts.Log.Info("endpoint gone", "endpoint", id, "revision", platform.FormatRevision(current.Revision))
		}
	}
}

// updateDaemons records the addresses of the daemons in a listing.
func (f *Fleet) updateDaemons(listed []platform.KeyValue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, kv := range listed {
		if !strings.HasPrefix(kv.Key, f.opts.Codec.DaemonPrefix) {
			continue
		}
		id := &peer.Identity{}
		if err := proto.Unmarshal(kv.Value, id); err != nil {
			f.opts.Log.Warn("daemon key with malformed value ignored", "key", kv.Key, "error", err)
			continue
		}
		f.members.LearnIdentity(now, id)
	}
}
