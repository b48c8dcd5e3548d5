// Package node wires the parts of one daemon, starts them, and stops them without cutting off a
// request.
//
// Lock order of a daemon: membership, configuration, scheduler shard, dispatch table, metrics. No
// part holds a lock over I/O or while it calls another part's subscriber.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/configstore"
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

// Node is one daemon.
type Node struct {
	settings *settings.Settings
	log      hclog.Logger
	metrics  metrics.Registry

	kv        platform.KV
	vmList    platform.VMList
	kinds     map[config.PoolKind]endpoint.Kind
	serverTLS *tls.Config
	peerTLS   *tls.Config

	pool       *peerconn.Pool
	members    *membership.Membership
	documents  *replica.Replica
	store      *configstore.Store
	ledger     *ledger.Ledger
	vms        *vmwatch.Watcher
	scheduler  *scheduler.Scheduler
	client     *scheduler.Client
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	admin      *admin.Server

	peerServer *peerconn.Server
	callers    *http.Server
	operators  *http.Server

	// work runs the background loops until stopWork is called.
	work     errgroup.Group
	stopWork context.CancelFunc
}

// New builds a daemon and binds its addresses.
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

// moduleContext is what a module gets.
func (n *Node) moduleContext(id string) *chivewind.Context {
	return &chivewind.Context{Log: n.log.Named(id), Metrics: n.metrics}
}

// Run serves until ctx ends, then stops gracefully. A canceled force ends the graceful stop early.
func (n *Node) Run(ctx, force context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	n.stopWork = stop
	defer stop()
	if err := n.start(work); err != nil {
		return err
	}
	n.log.Info("daemon started", "id", n.settings.ID, "zone", n.settings.Zone,
		"callers", n.settings.Listen.Callers, "admin", n.settings.Listen.Admin, "peer", n.settings.Listen.Peer)
	<-ctx.Done()
	return n.stop(force)
}

// start runs the parts in the order of their dependencies.
func (n *Node) start(ctx context.Context) error {
	for _, part := range []chivewind.Starter{n.peerServer, n.members, n.documents, n.scheduler, n.client} {
		if err := part.Start(ctx); err != nil {
			return oops.With("step", "start").Wrap(err)
		}
	}
	for _, loop := range []func(context.Context) error{n.store.Run, n.ledger.Run, n.vms.Run, n.sampleProcess} {
		n.work.Go(func() error { return loop(ctx) })
	}
	for _, server := range []struct {
		http    *http.Server
		address string
	}{{n.callers, n.settings.Listen.Callers}, {n.operators, n.settings.Listen.Admin}} {
		if err := n.serve(server.http, server.address); err != nil {
			return err
		}
	}
	return nil
}

// serve binds an address and serves it in the background.
func (n *Node) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return oops.With("step", "listen").With("address", address).Wrap(err)
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

// closeTimeout bounds the end of listeners and parts after the last request.
const closeTimeout = 5 * time.Second

// stop ends the daemon without cutting off a request: it leaves, waits until no caller holds its
// address any more, drains, hands over its roles, and closes.
func (n *Node) stop(force context.Context) error {
	n.log.Info("leaving", "requests", n.front.InFlight())
	if err := n.members.Leave(force); err != nil {
		return oops.With("step", "leave").Wrap(err)
	}
	n.log.Info("all members know of the leave; waiting until entry answers with this daemon expire",
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

// acceptGrace is the time in which a connection that the kernel has already accepted must have become
// a request. Closing the listener resets connections that the process has not accepted yet.
const acceptGrace = 500 * time.Millisecond

// drain waits for the requests in progress, also for those that are still in the listener's queue.
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
	return n.waitDispatched(force)
}

const (
	// dispatchedPoll is the time between looks at the dispatcher while it ends its background work.
	dispatchedPoll = 50 * time.Millisecond
	// dispatchedLimit bounds the wait for it. After an outage of the key-value service that lasts
	// longer, the records stay intents, which operators can settle.
	dispatchedLimit = 30 * time.Second
)

// waitDispatched waits until the dispatcher has recorded the outcomes of its requests in the ledger.
func (n *Node) waitDispatched(force context.Context) error {
	limit := time.Now().Add(dispatchedLimit)
	for n.dispatcher.Running() > 0 {
		if time.Now().After(limit) {
			n.log.Warn("outcomes of requests are not recorded", "requests", n.dispatcher.Running())
			return nil
		}
		select {
		case <-time.After(dispatchedPoll):
		case <-force.Done():
			return force.Err()
		}
	}
	return nil
}

// close ends all parts. Requests that arrive now are refused by the closed listener.
func (n *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Shutdown lets a request that arrived after the drain finish.
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("callers' listener did not close in time", "error", err)
	}
	n.stopWork()
	n.work.Wait()
	for _, part := range []chivewind.Stopper{n.client, n.scheduler, n.documents, n.members, n.peerServer} {
		if err := part.Stop(ctx); err != nil {
			n.log.Warn("part did not stop", "error", err)
		}
	}
	n.operators.Close()
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
