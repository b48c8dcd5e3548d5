// Package entrynode wires one entry daemon: its settings, the fleet, the request path, the directory for
// callers, and the graceful stop.
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
	// memoryShare is the part of the process's memory that the Go heap may use before it is collected more
	// often; the rest is for stacks, connections' buffers and the kernel.
	memoryShare = 0.6
	// maintainInterval is the time between two rounds of periodic work.
	maintainInterval = time.Second
	// headerTimeout bounds the time in which a caller sends the head of a request.
	headerTimeout = 10 * time.Second
	// thousandths is the unit of a daemon's capacity, in parts of a core.
	thousandths = 1000
	// maxHeader bounds the head of a request.
	maxHeader = 64 << 10
)

// Node is one entry daemon.
type Node struct {
	settings *settings.Entry
	log      hclog.Logger
	metrics  metrics.Registry
	kv       platform.KV
	pool     *peerconn.Pool
	fleet    *fleet.Fleet
	server   *entry.Server
	callers  *http.Server
	control  *peerconn.Server
}

// New builds a daemon and binds its addresses.
func New(s *settings.Entry, log hclog.Logger) (*Node, error) {
	runtime.GOMAXPROCS(s.Process.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Process.Memory)))
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
	n.pool = peerconn.NewPool(peerconn.Config{Metrics: n.metrics})
	n.server = entry.New(entry.Options{Zone: s.Zone, Bounds: s.Bounds, Wire: managed.Wire{}, Log: log.Named("entry"), Metrics: n.metrics})
	if err := n.buildFleet(); err != nil {
		return nil, err
	}
	n.control, err = peerconn.NewServer(peerconn.ServerConfig{
		Address: s.Listen.Control, Log: log.Named("peers"), Metrics: n.metrics,
		Service: &peerconn.Service{OnSync: n.fleet.Sync},
	})
	return n, err
}

func (n *Node) buildFleet() (err error) {
	s := n.settings
	n.fleet, err = fleet.New(fleet.Options{
		Self: &peer.Identity{
			Daemon: s.ID, Zone: s.Zone, Region: s.Region, EntryAddress: s.Listen.Callers,
			ControlAddress: s.Listen.Control, ReportAddress: s.Listen.Reports,
			Capacity: uint32(s.Process.Share * float64(s.Process.Cores) * thousandths),
		},
		Codec: fleet.Codec{
			TableKey: managed.KeyTable, EndpointPrefix: managed.PrefixEndpoints, DaemonPrefix: managed.PrefixDaemons,
			DecodeTable: managed.DecodeTable, DecodeEndpoint: managed.DecodeEndpoint,
		},
		KV: n.kv, Peers: n.pool, Seeds: s.Join, MinLeaseTTL: s.MinLease.D(), DrainBound: s.Bounds.Drain.D(),
		Reporter: n.server, Changed: n.server.SetView, Log: n.log.Named("fleet"), Metrics: n.metrics,
	})
	if err == nil {
		n.server.SetFleet(n.fleet)
	}
	return err
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.log.Info("starting", "daemon", n.settings.ID, "zone", n.settings.Zone, "callers", n.settings.Listen.Callers)
	if err := n.control.Start(work); err != nil {
		return err
	}
	n.fleet.Start(work)
	failed := make(chan error, 1)
	if err := n.listen(failed); err != nil {
		return err
	}
	go n.maintain(work)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.stop()
	n.server.Close()
	return n.pool.Close()
}

// listen binds the HTTP addresses.
func (n *Node) listen(failed chan<- error) error {
	l := n.settings.Listen
	n.callers = &http.Server{
		Handler: n.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: settings.DefaultEntryIdle.D(), MaxHeaderBytes: maxHeader,
		ErrorLog: n.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ready := http.NewServeMux()
	ready.HandleFunc(managed.PathReady, n.serveReady)
	directory := http.NewServeMux()
	directory.HandleFunc(managed.PathResolve, n.serveDirectory)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", promtext.Handler(n.metrics))
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{l.Callers, n.callers},
		{l.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{l.Directory, &http.Server{Handler: directory, ReadHeaderTimeout: headerTimeout}},
		{l.Metrics, &http.Server{Handler: metricsMux, ReadHeaderTimeout: headerTimeout}},
	} {
		if s.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return oops.With("step", "listen").With("address", s.address).Wrap(err)
		}
		go func() {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.fleet.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	addresses := n.fleet.EntryAddresses(managed.ReadPlace(r).Zone)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := managed.WriteAddresses(w, addresses, n.settings.Bounds.AddressValidity.D()); err != nil {
		n.log.Debug("a caller got no addresses", "error", err)
	}
}

// maintain does the periodic work and announces readiness once a routing table and endpoints are known.
func (n *Node) maintain(ctx context.Context) {
	const readyInterval = 50 * time.Millisecond
	interval := readyInterval
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
	}
}

const (
	// acceptAfterStop is how long a stopping daemon still takes requests from callers that have not heard of
	// its leaving yet. Streams that begin later would not end before the process is killed.
	acceptAfterStop = 2500 * time.Millisecond
	// stopReserve is the part of the time to stop that is left for closing connections.
	stopReserve = 400 * time.Millisecond
	// idleCheck is the time between two looks whether all requests have ended.
	idleCheck = 50 * time.Millisecond
)

// stop leaves the fleet, finishes the requests in progress and closes the connections.
func (n *Node) stop() {
	begun := time.Now()
	end := begun.Add(n.settings.Bounds.Stop.D() - stopReserve)
	n.log.Info("stopping", "requests", n.server.Active())
	n.fleet.SetState(peer.DaemonState_DAEMON_STATE_LEAVING)
	n.server.Leave()
	time.Sleep(min(acceptAfterStop, time.Until(end)))
	n.server.Refuse()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for n.server.Active() > 0 && ctx.Err() == nil {
		time.Sleep(idleCheck)
	}
	// Shutdown closes idle connections and waits for answers that began meanwhile.
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests were cut", "requests", n.server.Active(), "error", err)
		_ = n.callers.Close()
	}
	n.log.Info("stopped", "after", time.Since(begun).Round(time.Millisecond).String())
}
