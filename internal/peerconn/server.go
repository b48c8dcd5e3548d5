package peerconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/chivewind/chivewind/peer"
)

// inactivityTimeout is the time without calls after which an accepted connection is closed. It
// exceeds DefaultIdleTimeout, so that the client, which knows whether a call is about to start,
// closes first.
const inactivityTimeout = 2 * time.Minute

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the host:port to listen on over TCP.
	Address string
	// Listener replaces the TCP listener, for tests.
	Listener net.Listener
	// TLS enables TLS; it must require and verify client certificates.
	TLS *tls.Config
	// Service handles the calls. ServiceFuncs implements it with functions.
	Service peer.DRPCPeerServer
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Server serves the peer service.
type Server struct {
	listener net.Listener
	server   *drpcserver.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// NewServer returns a server that listens on the address. Start begins to serve.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Service == nil {
		return nil, errors.New("peer server: ServerConfig.Service is nil")
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	mux := drpcmux.New()
	if err := peer.DRPCRegisterPeer(mux, cfg.Service); err != nil {
		return nil, oops.With("step", "register the peer service").Wrap(err)
	}
	listener := cfg.Listener
	if listener == nil {
		l, err := net.Listen("tcp", cfg.Address)
		if err != nil {
			return nil, oops.With("step", "listen for peers").With("address", cfg.Address).Wrap(err)
		}
		listener = l
	}
	serverCounters := newCounters(cfg.Metrics, "peer.server.")
	listener = &countingListener{Listener: listener, counters: &serverCounters}
	if cfg.TLS != nil {
		listener = tls.NewListener(listener, cfg.TLS)
	}
	options := drpcserver.Options{Manager: managerOptions()}
	options.Manager.InactivityTimeout = inactivityTimeout
	options.Log = func(err error) { cfg.Log.Debug("peer connection ended", "error", err) }
	return &Server{listener: listener, server: drpcserver.NewWithOptions(mux, options)}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start accepts connections until Stop.
func (s *Server) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.running.Go(func() { _ = s.server.Serve(ctx, s.listener) })
	return nil
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	if s.cancel == nil {
		return s.listener.Close()
	}
	s.cancel()
	s.running.Wait()
	return nil
}

// ServiceFuncs implements the peer service with functions. A method whose function is nil returns the
// unimplemented error.
type ServiceFuncs struct {
	OnSchedule func(peer.DRPCPeer_ScheduleStream) error
	OnSync     func(context.Context, *peer.SyncRequest) (*peer.SyncReply, error)
	OnLedger   func(context.Context, *peer.LedgerRequest) (*peer.LedgerReply, error)
	OnAnnounce func(context.Context, *peer.AnnounceRequest) (*peer.AnnounceReply, error)
	OnStatus   func(context.Context, *peer.StatusRequest) (*peer.StatusReply, error)

	unimplemented peer.DRPCPeerUnimplementedServer
}

var _ peer.DRPCPeerServer = (*ServiceFuncs)(nil)

// Schedule implements peer.DRPCPeerServer.
func (s *ServiceFuncs) Schedule(stream peer.DRPCPeer_ScheduleStream) error {
	if s.OnSchedule == nil {
		return s.unimplemented.Schedule(stream)
	}
	return s.OnSchedule(stream)
}

// Sync implements peer.DRPCPeerServer.
func (s *ServiceFuncs) Sync(ctx context.Context, r *peer.SyncRequest) (*peer.SyncReply, error) {
	return callOrFallback(ctx, r, s.OnSync, s.unimplemented.Sync)
}

// Ledger implements peer.DRPCPeerServer.
func (s *ServiceFuncs) Ledger(ctx context.Context, r *peer.LedgerRequest) (*peer.LedgerReply, error) {
	return callOrFallback(ctx, r, s.OnLedger, s.unimplemented.Ledger)
}

// Announce implements peer.DRPCPeerServer.
func (s *ServiceFuncs) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	return callOrFallback(ctx, r, s.OnAnnounce, s.unimplemented.Announce)
}

// Status implements peer.DRPCPeerServer.
func (s *ServiceFuncs) Status(ctx context.Context, r *peer.StatusRequest) (*peer.StatusReply, error) {
	return callOrFallback(ctx, r, s.OnStatus, s.unimplemented.Status)
}

func callOrFallback[Q, R any](
	ctx context.Context, request Q, f, fallback func(context.Context, Q) (R, error),
) (R, error) {
	if f == nil {
		f = fallback
	}
	return f(ctx, request)
}
