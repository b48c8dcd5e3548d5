package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/node"
	"github.com/chivewind/chivewind/internal/standin/engine"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/internal/standin/vmlist"
	_ "github.com/chivewind/chivewind/modules/standard" // the daemons load their modules by id
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/settings"
)

// The numbers of endpoints and daemons.
const (
	engineCount = 4
	plainCount  = 2
	daemonCount = 3
)

const (
	// A stand-in engine takes prefillTime until the first token, then tokenTime per token, and
	// tokenTimePerRequest more for each further request in its batch: 9.4 ms per token with a full batch of
	// engineSlots.
	engineSlots         = 8
	prefillTime         = 20 * time.Millisecond
	tokenTime           = 8 * time.Millisecond
	tokenTimePerRequest = 200 * time.Microsecond

	plainDelay     = 5 * time.Millisecond
	startTimeout   = 15 * time.Second
	stopTimeout    = 15 * time.Second
	pollInterval   = 20 * time.Millisecond
	entryValidity  = "1s"
	workspaceName  = "show"
	modelName      = "bonsai"
	bookingsPrefix = "/bookings/"
)

var zones = []string{"sapporo", "asahikawa", "hakodate"}

// fleet is the running system: the stand-ins and the daemons.
type fleet struct {
	engines       []*engine.Engine
	plainServices []*plain.Service
	closers       []func()
	config        *config.Config
	// callerURLs and adminURLs are the daemons' base URLs for callers and for the administration API.
	callerURLs []string
	adminURLs  []string

	// stop begins the graceful shutdown of the daemons; force ends it early. results receives one result
	// per daemon that has ended; running is the number of daemons whose result was not received yet.
	stop, force context.CancelFunc
	results     chan error
	running     int
}

// startFleet starts the stand-ins and the daemons and applies the configuration.
func startFleet(ctx context.Context, log hclog.Logger) (*fleet, error) {
	f := &fleet{results: make(chan error, daemonCount)}
	err := f.startServers(log)
	if err == nil {
		err = f.apply(ctx)
	}
	if err == nil {
		return f, nil
	}
	f.force()
	return nil, errors.Join(err, f.stopDaemons())
}

// startServers starts the stand-ins and then the daemons, each of which joins the earlier ones.
func (f *fleet) startServers(log hclog.Logger) error {
	stopCtx, cancelStop := context.WithCancel(context.Background())
	forceCtx, cancelForce := context.WithCancel(context.Background())
	f.stop, f.force = cancelStop, cancelForce
	kvServer, kvAddress, err := kv.NewServer(kv.NewStore()).Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { kvServer.Close() })
	vms := vmlist.New()
	vmServer, vmAddress, err := vms.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { vmServer.Close() })
	f.config = baseConfig()
	if err := f.startEndpoints(vms); err != nil {
		return err
	}
	var peers []string
	for i := range daemonCount {
		peer, err := f.startDaemon(i, kvAddress, vmAddress, peers, log, stopCtx, forceCtx)
		if err != nil {
			return err
		}
		peers = append(peers, peer)
	}
	return nil
}

func (f *fleet) startEndpoints(vms *vmlist.Server) error {
	for i := range engineCount {
		e, err := engine.Start(engine.Options{Model: modelName, Slots: engineSlots, Prefill: prefillTime, TokenTime: tokenTime, TokenTimePerRequest: tokenTimePerRequest})
		if err != nil {
			return err
		}
		f.closers = append(f.closers, e.Close)
		f.engines = append(f.engines, e)
		f.addEndpoint(vms, config.Endpoint{
			ID: fmt.Sprintf("engine-%d", i+1), Pool: "engines", URL: e.URL(), Zone: zones[i%len(zones)], MaxSlots: engineSlots,
			Capabilities: []config.Capability{config.CapPriority, config.CapResume, config.CapLoad, config.CapCacheEvents},
		})
	}
	for i := range plainCount {
		id := fmt.Sprintf("registry-%d", i+1)
		s, err := plain.Start(plain.Options{Name: id, Delay: plainDelay})
		if err != nil {
			return err
		}
		f.closers = append(f.closers, s.Close)
		f.plainServices = append(f.plainServices, s)
		f.addEndpoint(vms, config.Endpoint{ID: id, Pool: "registry", URL: s.URL(), Zone: zones[i%len(zones)]})
	}
	return nil
}

func (f *fleet) addEndpoint(vms *vmlist.Server, e config.Endpoint) {
	e.VM = "vm-" + e.ID
	vms.Put(platform.VM{ID: e.VM, Zone: e.Zone, Role: "endpoint", State: platform.VMLive})
	f.config.Endpoints = append(f.config.Endpoints, e)
}

// baseConfig returns the configuration without endpoints.
func baseConfig() *config.Config {
	const ms, s = config.Duration(time.Millisecond), config.Duration(time.Second)
	return &config.Config{
		Preset: "ordinary",
		Presets: []config.Preset{{Name: "ordinary", Classes: []config.Class{
			{Name: "quick", Tier: 1, FirstToken: 500 * ms, BetweenTokens: 34 * ms},
			{Name: "notes", Tier: 2, FirstToken: 1500 * ms, BetweenTokens: 60 * ms, Late: config.LateDemote},
			{Name: "long", Tier: 3, Total: 30 * s, Late: config.LateServe},
		}}},
		Pools:      []config.Pool{{Name: "engines", Kind: config.KindEngine, Model: modelName}, {Name: "registry", Kind: config.KindPlain}},
		Routes:     []config.Route{{Path: bookingsPrefix, Pool: "registry", Class: "quick", NonIdempotent: []string{http.MethodPost}}},
		Workspaces: []config.Workspace{{Name: workspaceName, DefaultClass: "quick"}},
	}
}

// startDaemon starts daemon number i, counted from 0, and returns its peer address.
func (f *fleet) startDaemon(i int, kvAddress, vmAddress string, join []string, log hclog.Logger, stopCtx, forceCtx context.Context) (string, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return "", err
	}
	s, err := settings.Parse("demo", fmt.Appendf(nil, `
id: daemon-%d
zone: %s
listen: {callers: "%s", admin: "%s", peer: "%s"}
join: [%s]
kv: {use: kv.etcd, with: {endpoints: ["http://%s"]}}
vm_list: {use: vmlist.http, with: {url: "http://%s%s"}}
limits: {entry_validity: %s}
`, i+1, zones[i%len(zones)], addresses[0], addresses[1], addresses[2], strings.Join(join, ", "), kvAddress, vmAddress, vmlist.PathVMs, entryValidity))
	if err != nil {
		return "", err
	}
	n, err := node.New(s, log.Named(s.ID))
	if err != nil {
		return "", err
	}
	f.callerURLs = append(f.callerURLs, "http://"+addresses[0])
	f.adminURLs = append(f.adminURLs, "http://"+addresses[1])
	f.running++
	go func() { f.results <- n.Run(stopCtx, forceCtx) }()
	return addresses[2], nil
}

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		// The listeners stay open until the function returns, so that no address is returned twice.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		defer u.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// apply sends the configuration to one daemon and waits until it is in force on all daemons.
func (f *fleet) apply(ctx context.Context) error {
	var change adminapi.Change
	first := adminapi.Client{Base: f.adminURLs[0]}
	err := f.retryUntilStarted(ctx, func() error { return first.Send(ctx, http.MethodPut, "/admin/v1/config", f.config, 0, &change) })
	if err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	for _, address := range f.adminURLs {
		c := adminapi.Client{Base: address}
		err := f.retryUntilStarted(ctx, func() error {
			var got adminapi.Config
			if err := c.Get(ctx, "/admin/v1/config", &got); err != nil {
				return err
			}
			if got.Revision < change.Revision {
				return fmt.Errorf("revision %d is in force at %s, not %d", got.Revision, address, change.Revision)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("wait for the configuration: %w", err)
		}
	}
	return nil
}

// retryUntilStarted repeats a call until it succeeds, a daemon ends, or startTimeout has passed.
func (f *fleet) retryUntilStarted(ctx context.Context, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case result := <-f.results:
			f.running--
			return errors.Join(err, result)
		case <-ctx.Done():
			return err
		}
	}
}

// stopDaemons stops the daemons gracefully, and by force after stopTimeout.
func (f *fleet) stopDaemons() error {
	f.stop()
	defer f.force()
	timer := time.AfterFunc(stopTimeout, f.force)
	defer timer.Stop()
	var err error
	for ; f.running > 0; f.running-- {
		err = errors.Join(err, <-f.results)
	}
	return err
}

func (f *fleet) stopStandins() {
	for _, closer := range f.closers {
		closer()
	}
}
