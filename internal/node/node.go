// Package node builds the components of one daemon, starts them, and stops them without aborting
// requests in progress.
//
// Lock order of a daemon: membership, configuration, Node.configureMu, scheduler shard, response relay of package
// dispatch, metrics. No lock is held during calls to other daemons, to the key-value service or to the VM list.
// Package configstore notifies its subscribers with a lock held, and a relay holds its lock while it writes
// to the caller.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/configstore"
	"github.com/chivewind/chivewind/internal/connlimit"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/ledger"
	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/internal/replica"
	"github.com/chivewind/chivewind/internal/scheduler"
	"github.com/chivewind/chivewind/internal/vmwatch"
	"github.com/chivewind/chivewind/modules/admin"
	"github.com/chivewind/chivewind/modules/front"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/settings"
)

// Node is one daemon with all its components.
type Node struct {
	settings *settings.Settings
	log      hclog.Logger
	metrics  metrics.Registry

	kv            platform.KV
	vmList        platform.VMList
	endpointKinds map[config.PoolKind]endpoint.Kind
	serverTLS     *tls.Config
	peerTLS       *tls.Config

	pool       *peerconn.Pool
	members    *membership.Membership
	documents  *replica.Replica
	store      *configstore.Store
	ledger     *ledger.Ledger
	vmWatcher  *vmwatch.Watcher
	scheduler  *scheduler.Scheduler
	client     *scheduler.Client
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	admin      *admin.Server

	// configureMu serializes the configuration of the scheduler. The configuration store and the VM watcher both cause it,
	// and the one that read its input first must not overwrite what the other has set.
	configureMu sync.Mutex

	peerServer   *peerconn.Server
	callerServer *http.Server
	adminServer  *http.Server

	// background runs the background loops until stopBackground is called.
	background     errgroup.Group
	stopBackground context.CancelFunc
}

// New builds a daemon and binds its peer address, UDP for membership and TCP for calls between daemons. Run
// binds the other addresses.
func New(s *settings.Settings, log hclog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, metrics: metrics.NewRegistry()}
	for _, step := range []struct {
		name  string
		build func() error
	}{
		{"read certificates", n.buildTLS},
		{"load modules", n.buildModules},
		{"bind the peer address", n.buildCluster},
		{"build the configuration", n.buildConfiguration},
		{"build the request path", n.buildRequestPath},
		{"bind the peer service", n.buildPeerServer},
	} {
		if err := step.build(); err != nil {
			return nil, oops.With("step", step.name).Wrap(err)
		}
	}
	return n, nil
}

// moduleContext returns the context for a module, with a logger that is named after the module's id.
func (n *Node) moduleContext(id string) *chivewind.Context {
	return &chivewind.Context{Log: n.log.Named(id), Metrics: n.metrics}
}

// Run serves until ctx is done, then stops gracefully. When force is done, Run gives up the graceful stop
// and returns an error.
func (n *Node) Run(ctx, force context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stopBackground = stop
	defer stop()
	if err := n.start(work); err != nil {
		return err
	}
	n.log.Info("daemon started", "id", n.settings.ID, "zone", n.settings.Zone,
		"callers", n.settings.Listen.Callers, "admin", n.settings.Listen.Admin, "peer", n.settings.Listen.Peer)
	<-ctx.Done()
	return n.stop(force)
}

// start starts the components in the order of their dependencies, then the listeners.
func (n *Node) start(ctx context.Context) error {
	for _, component := range []chivewind.Starter{n.peerServer, n.members, n.documents, n.scheduler, n.client} {
		if err := component.Start(ctx); err != nil {
			return oops.With("step", "start").Wrap(err)
		}
	}
	for _, loop := range []func(context.Context) error{n.store.Run, n.ledger.Run, n.vmWatcher.Run, n.sampleProcess} {
		n.background.Go(func() error { return loop(ctx) })
	}
	for _, server := range []struct {
		http    *http.Server
		address string
	}{{n.callerServer, n.settings.Listen.Callers}, {n.adminServer, n.settings.Listen.Admin}} {
		if err := n.serve(server.http, server.address); err != nil {
			return err
		}
	}
	return nil
}

// serve binds an address and serves it in a goroutine.
func (n *Node) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return oops.With("step", "listen").With("address", address).Wrap(err)
	}
	if server == n.callerServer {
		listener = n.limitCallers(listener)
	}
	if n.serverTLS != nil {
		listener = tls.NewListener(listener, n.serverTLS)
	}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			n.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// limitCallers limits the connections of callers and registers the metrics of what they hold. The settings do not state the
// memory of the process, so that only its descriptors limit them.
func (n *Node) limitCallers(inner net.Listener) net.Listener {
	callers := connlimit.New(inner, connlimit.LimitsFor(0, connlimit.FileLimit()), func(int64) {})
	n.callerServer.ConnState = callers.StateChanged
	for name, value := range map[string]func() int64{
		"chivewind_caller_connections": func() int64 {
			open, _ := callers.Status()
			return int64(open)
		},
		"chivewind_caller_connections_closed": func() int64 {
			_, counts := callers.Status()
			return counts.OverTotal + counts.OverAddress + counts.Idle
		},
		"chivewind_request_memory_bytes": func() int64 {
			held, _ := n.front.RequestMemory()
			return held
		},
		"chivewind_request_memory_rejections": func() int64 {
			_, counts := n.front.RequestMemory()
			return counts.Rejections
		},
	} {
		metrics.NewRegisteredFunctionalGauge(name, n.metrics, value)
	}
	return callers
}

// closeTimeout bounds the shutdown of the caller server after the last request. The Stop methods of the
// components get the same deadline but ignore it.
const closeTimeout = 5 * time.Second

// stop shuts the daemon down without aborting requests in progress: it leaves the membership, whereupon the
// scheduler and the ledger release their shards and partitions, waits until the entry answers with this daemon
// have expired, waits for the requests in progress, and closes all components. An entry answer is the list of
// daemon addresses that GET /v1/entry returns; callers cache it and send requests to this daemon until it
// expires.
func (n *Node) stop(force context.Context) error {
	n.log.Info("leaving", "requests", n.front.InFlight())
	if err := n.members.Leave(force); err != nil {
		return oops.With("step", "leave").Wrap(err)
	}
	n.log.Info("left the membership; waiting until entry answers with this daemon expire",
		"validity", n.settings.Limits.EntryValidity.D().String())
	select {
	case <-time.After(n.settings.Limits.EntryValidity.D()):
	case <-force.Done():
		return oops.With("step", "wait for entry answers").Wrap(force.Err())
	}
	if err := n.drain(force); err != nil {
		return oops.With("step", "drain").Wrap(err)
	}
	return n.close()
}

// acceptGrace is the time to accept the connections that are still in the kernel's accept queue and to read
// their requests. Closing the listener resets connections that the process has not accepted yet.
const acceptGrace = 500 * time.Millisecond

// drain waits for the requests in progress, including those of connections in the accept queue, and for their
// outcomes to be recorded.
func (n *Node) drain(force context.Context) error {
	n.log.Info("draining", "requests", n.front.InFlight())
	if err := n.front.Drain(force); err != nil {
		return err
	}
	select {
	case <-time.After(acceptGrace):
	case <-force.Done():
		return force.Err()
	}
	if err := n.front.Drain(force); err != nil {
		return err
	}
	return n.waitForOutcomes(force)
}

const (
	// outcomePollInterval is the time between checks of the dispatcher's number of running requests.
	outcomePollInterval = 50 * time.Millisecond
	// outcomeTimeout bounds waitForOutcomes. When an outage of the key-value service lasts longer,
	// the ledger records stay in the state intent, and operators can settle them.
	outcomeTimeout = 30 * time.Second
)

// waitForOutcomes waits until the dispatcher has recorded the outcomes of its requests in the ledger.
func (n *Node) waitForOutcomes(force context.Context) error {
	limit := time.Now().Add(outcomeTimeout)
	for n.dispatcher.Running() > 0 {
		if time.Now().After(limit) {
			n.log.Warn("stopping before all outcomes are recorded in the ledger", "requests", n.dispatcher.Running())
			return nil
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-force.Done():
			return force.Err()
		}
	}
	return nil
}

// close closes the listeners and stops the components and then the modules that they use. Later connection attempts are
// refused.
func (n *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Shutdown waits for requests that arrived after the drain.
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("caller server did not shut down in time", "error", err)
	}
	n.stopBackground()
	n.background.Wait()
	for _, component := range []chivewind.Stopper{n.client, n.scheduler, n.documents, n.members, n.peerServer} {
		if err := component.Stop(ctx); err != nil {
			n.log.Warn("failed to stop component", "error", err)
		}
	}
	for _, module := range []any{n.kv, n.vmList} {
		if m, ok := module.(chivewind.Stopper); ok {
			if err := m.Stop(ctx); err != nil {
				n.log.Warn("failed to stop module", "error", err)
			}
		}
	}
	n.adminServer.Close()
	n.pool.Close()
	n.log.Info("stopped")
	return nil
}

// Status describes this daemon for operators.
func (n *Node) Status() *peer.StatusReply {
	self := n.members.Self()
	reply := &peer.StatusReply{
		MemberId: self.Id, Zone: self.Zone, Requests: uint32(n.front.InFlight()),
		Leaving: self.State == peer.MemberState_MEMBER_STATE_LEAVING,
		Shards:  n.scheduler.Status(),
	}
	if s := n.store.Snapshot(); s != nil {
		reply.Revision, reply.Preset = s.Revision, s.Config.Preset
	}
	return reply
}
