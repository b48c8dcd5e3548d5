// Package entrynode assembles an entry daemon from its settings: the fleet membership, the request path, the
// HTTP servers for callers, readiness, directory and metrics, and the graceful shutdown.
package entrynode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/internal/connlimit"
	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/settings"
)

const (
	// memoryLimitRatio is the Go runtime's soft memory limit as a fraction of the memory that the settings allow the
	// process. Near the limit, the garbage collector runs more often. The rest is for memory that the limit does not
	// cover, such as thread stacks and the kernel's connection buffers.
	memoryLimitRatio = 0.6
	// maintainInterval is the interval of the server's periodic maintenance.
	maintainInterval = time.Second
	// headerTimeout limits the time that a caller may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// capacityPerCore converts a number of cores to the unit of peer.Identity.Capacity, a thousandth of a core.
	capacityPerCore = 1000
	// maxHeaderBytes is the maximum size of a request header in bytes.
	maxHeaderBytes = 64 << 10
)

// Node is one entry daemon.
type Node struct {
	settings     *settings.Entry
	log          hclog.Logger
	metrics      metrics.Registry
	kv           platform.KV
	peerPool     *peerconn.Pool
	fleet        *fleet.Fleet
	server       *entry.Server
	duties       *duties
	callerServer *http.Server
	// callers limits the connections of callers; nil until Run has bound their address.
	callers    *connlimit.Listener
	peerServer *peerconn.Server
	// listeners are the listeners of the HTTP servers, and httpServers those servers, callerServer included.
	listeners   []net.Listener
	httpServers []*http.Server
}

// New creates a daemon from its settings and binds its control and report addresses; Run binds the HTTP addresses. It
// also sets GOMAXPROCS and the memory limit of the process. The error states that a module cannot be loaded or that an
// address cannot be bound.
func New(s *settings.Entry, log hclog.Logger) (*Node, error) {
	runtime.GOMAXPROCS(s.Process.Cores)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Process.Memory)))
	n := &Node{settings: s, log: log, metrics: metrics.NewRegistry()}
	loaded, err := chivewind.Load(&chivewind.Context{Log: log.Named("kv"), Metrics: n.metrics}, s.KV.Use, &s.KV.With)
	if err != nil {
		return nil, err
	}
	kv, ok := loaded.(platform.KV)
	if !ok {
		return nil, oops.With("module", s.KV.Use).Errorf("module %s is not a key-value service", s.KV.Use)
	}
	n.kv = kv
	if n.duties, err = n.newDuties(); err != nil {
		return nil, err
	}
	n.peerPool = peerconn.NewPool(peerconn.Config{Metrics: n.metrics})
	n.server = entry.New(entry.Options{
		Zone: s.Zone, Bounds: s.Bounds, FairShares: s.Placement.FairShares, Pace: s.Placement.Pace, HeaderCodec: managed.HeaderCodec{}, Usage: n.duties.usage,
		Memory: int64(s.Process.RequestMemory), Log: log.Named("entry"), Metrics: n.metrics,
	})
	if err := n.buildFleet(); err != nil {
		return nil, err
	}
	n.peerServer, err = peerconn.NewServer(peerconn.ServerConfig{
		Address: s.Listen.Control, Log: log.Named("peers"), Metrics: n.metrics,
		Service: &peerconn.ServiceFuncs{OnSync: n.fleet.Sync},
	})
	if err != nil {
		n.fleet.Close()
		return nil, err
	}
	return n, nil
}

// buildFleet creates the fleet.Fleet of the daemon and connects the request path to it.
func (n *Node) buildFleet() (err error) {
	s := n.settings
	n.fleet, err = fleet.New(fleet.Options{
		Self: &peer.Identity{
			Daemon: s.ID, Zone: s.Zone, Region: s.Region, EntryAddress: s.Listen.Callers,
			ControlAddress: s.Listen.Control, ReportAddress: s.Listen.Reports,
			Capacity: uint32(s.Process.Share * float64(s.Process.Cores) * capacityPerCore),
		},
		Codec: fleet.Codec{
			TableKey: managed.KeyTable, EndpointPrefix: managed.PrefixEndpoints, DaemonPrefix: managed.PrefixDaemons,
			DecodeTable: managed.DecodeTable, DecodeEndpoint: managed.DecodeEndpoint, EncodeEndpoint: managed.EncodeEndpoint,
		},
		KV: n.kv, Peers: n.peerPool, Seeds: s.Join, MinLeaseTTL: s.MinLease.D(), DrainBound: s.Bounds.Drain.D(),
		Reporter: n.server, OnViewChange: n.server.SetView, OnOtherKey: n.duties.observe, OnStoreReturned: n.duties.noteStoreReturned, Log: n.log.Named("fleet"), Metrics: n.metrics,
	})
	if err == nil {
		n.server.SetFleet(n.fleet)
	}
	return err
}

// Run serves requests until ctx is canceled and then shuts down gracefully. It returns early with an error if an
// address cannot be bound or an HTTP server fails. When it returns, all addresses of the daemon are free again.
func (n *Node) Run(ctx context.Context) error {
	// The background work continues after ctx is canceled, until the graceful shutdown is complete.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer n.closeListeners()
	n.log.Info("starting", "daemon", n.settings.ID, "zone", n.settings.Zone, "callers", n.settings.Listen.Callers)
	if err := n.peerServer.Start(work); err != nil {
		return err
	}
	n.fleet.Start(work)
	failed := make(chan error, 1)
	if err := n.listen(failed); err != nil {
		return err
	}
	go n.maintain(work)
	n.duties.start(work)
	defer n.duties.stop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.stop()
	n.server.Close()
	return n.peerPool.Close()
}

// closeListeners closes the HTTP servers and the sockets for other daemons.
func (n *Node) closeListeners() {
	for _, s := range n.httpServers {
		_ = s.Close()
	}
	// A server that has not begun to serve does not close its listener.
	for _, l := range n.listeners {
		_ = l.Close()
	}
	n.fleet.Close()
	_ = n.peerServer.Stop(context.Background())
}

// listen binds the HTTP addresses and starts their servers. A server that fails later sends its error to failed.
func (n *Node) listen(failed chan<- error) error {
	l := n.settings.Listen
	n.callerServer = &http.Server{
		Handler: n.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: settings.DefaultEntryIdleTimeout.D(), MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ready := http.NewServeMux()
	ready.HandleFunc(managed.PatternReady, n.serveReady)
	directory := http.NewServeMux()
	directory.HandleFunc(managed.PatternResolve, n.serveDirectory)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", promtext.Handler(n.metrics))
	metricsMux.Handle(entry.PatternWhere, n.server.WhereHandler())
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{l.Callers, n.callerServer},
		{l.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{l.Directory, &http.Server{Handler: directory, ReadHeaderTimeout: headerTimeout}},
		{l.Metrics, &http.Server{Handler: metricsMux, ReadHeaderTimeout: headerTimeout}},
	} {
		if s.address == "" {
			continue
		}
		listener, err := n.bind(s.server, s.address)
		if err != nil {
			return oops.With("step", "listen").With("address", s.address).Wrap(err)
		}
		n.listeners, n.httpServers = append(n.listeners, listener), append(n.httpServers, s.server)
		go func() {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return nil
}

// bind binds the address of an HTTP server. The connections of callers are limited.
func (n *Node) bind(s *http.Server, address string) (net.Listener, error) {
	if s != n.callerServer {
		return net.Listen("tcp4", address)
	}
	limits := connlimit.LimitsFor(int64(n.settings.Process.Memory), connlimit.FileLimit())
	callers, err := connlimit.Listen(address, limits, n.server.HoldConnection)
	if err != nil {
		return nil, err
	}
	n.log.Info("limits of callers", "connections", limits.Total, "per_address", limits.PerAddress, "buffer", limits.Buffer,
		"request_memory", int64(n.settings.Process.RequestMemory))
	s.ConnState = callers.StateChanged
	n.callers = callers
	return callers, nil
}

// serveReady answers the readiness probe: 200 when the daemon is ready, 503 otherwise.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory answers with the addresses of entry daemons for the caller's availability zone.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := n.fleet.EntryAddresses(managed.ParseCallerLocation(r).Zone)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := managed.WriteAddresses(w, addresses, n.settings.Bounds.AddressValidity.D()); err != nil {
		n.log.Debug("failed to write the directory response", "error", err)
	}
}

// maintain runs the periodic maintenance. While the daemon is starting it checks more often and sets the state to
// ready as soon as a routing table is known.
func (n *Node) maintain(ctx context.Context) {
	const readyInterval = 50 * time.Millisecond
	interval := readyInterval
	var closedConns connlimit.Counts
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if view := n.fleet.View(); view.Table != nil && n.fleet.Starting() {
			n.fleet.SetState(peer.DaemonState_DAEMON_STATE_READY)
		}
		if !n.fleet.Starting() {
			interval = maintainInterval
		}
		n.server.Maintain()
		n.reportConnections(&closedConns)
	}
}

// reportConnections updates the metrics of callers' connections. last holds the counts of the last report.
func (n *Node) reportConnections(last *connlimit.Counts) {
	open, counts := n.callers.Status()
	metrics.GetOrRegisterGauge("chivewind_entry_caller_connections", n.metrics).Update(int64(open))
	for _, c := range []struct {
		reason string
		n      int64
	}{
		{"total", counts.OverTotal - last.OverTotal}, {"address", counts.OverAddress - last.OverAddress}, {"idle", counts.Idle - last.Idle},
	} {
		metrics.GetOrRegisterCounter(promtext.Name("chivewind_entry_connections_closed_total", "reason", c.reason), n.metrics).Inc(c.n)
	}
	*last = counts
}

const (
	// acceptAfterStop is the time for which a stopping daemon still accepts requests, from callers that have not
	// yet learned that it is leaving. Streams that started later might not end before the process is killed.
	acceptAfterStop = 2500 * time.Millisecond
	// closeReserve is the part of the shutdown time that is reserved for ending requests and closing connections, and
	// lastRepliesTimeout the part of it in which the responses to those requests are written.
	closeReserve       = 400 * time.Millisecond
	lastRepliesTimeout = 250 * time.Millisecond
	// idlePollInterval is the interval of polling whether all requests have ended.
	idlePollInterval = 50 * time.Millisecond
)

// stop announces to the fleet that the daemon is leaving, waits for the requests in progress, ends those that take too long
// and closes the connections of callers.
func (n *Node) stop() {
	start := time.Now()
	deadline := start.Add(n.settings.Bounds.Stop.D() - closeReserve)
	n.log.Info("stopping", "requests", n.server.Active())
	n.fleet.SetState(peer.DaemonState_DAEMON_STATE_LEAVING)
	// Another daemon takes the duties over while this one serves its last requests.
	go n.duties.stop()
	n.server.DisableKeepAlives()
	time.Sleep(min(acceptAfterStop, time.Until(deadline)))
	n.server.RefuseRequests()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for n.server.Active() > 0 && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
	n.server.EndRequests()
	ctx, cancelReplies := context.WithDeadline(context.Background(), deadline.Add(lastRepliesTimeout))
	defer cancelReplies()
	// Shutdown closes idle connections and waits for responses that are still being written.
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("requests were cut", "requests", n.server.Active(), "error", err)
		_ = n.callerServer.Close()
	}
	n.log.Info("stopped", "after", time.Since(start).Round(time.Millisecond).String())
}
