package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/platform/managed/standin"
)

// noopReporter is a fleet.Reporter without any load.
type noopReporter struct{}

func (noopReporter) FillReport(*peer.Report, bool)                 {}
func (noopReporter) HandleReport(*peer.Report)                     {}
func (noopReporter) ForgetDaemon(string)                           {}
func (noopReporter) HandleDatagram(*peer.Datagram, netip.AddrPort) {}

// daemon is a fleet.Fleet with its peer server on the loopback interface.
type daemon struct {
	*fleet.Fleet
	self  *peer.Identity
	views chan *fleet.View
}

// freeAddress returns a loopback address with a port that is free for TCP and, most likely, for UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startDaemon(t *testing.T, name, store string, seeds ...string) *daemon {
	t.Helper()
	kv := &managed.Store{Address: store, Timeout: config.Duration(300 * time.Millisecond), WatchWait: config.Duration(300 * time.Millisecond)}
	if err := kv.Provision(nil); err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	pool := peerconn.NewPool(peerconn.Config{Metrics: registry})
	self := &peer.Identity{Daemon: name, Zone: "z", EntryAddress: name, ControlAddress: freeAddress(t), ReportAddress: freeAddress(t)}
	d := &daemon{self: self, views: make(chan *fleet.View, 100)}
	var err error
	d.Fleet, err = fleet.New(fleet.Options{
		Self:  self,
		Codec: fleet.TestCodec, KV: kv, Peers: pool, Seeds: seeds, MinLeaseTTL: time.Second, DrainBound: 2 * time.Second,
		Reporter: noopReporter{}, OnViewChange: func(v *fleet.View) { d.views <- v }, Log: hclog.NewNullLogger(), Metrics: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	server, err := peerconn.NewServer(peerconn.ServerConfig{
		Address: d.self.ControlAddress, Log: hclog.NewNullLogger(), Metrics: registry, Service: &peerconn.ServiceFuncs{OnSync: d.Sync},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := server.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = server.Stop(context.Background())
		_ = pool.Close()
	})
	d.Start(ctx)
	d.SetState(peer.DaemonState_DAEMON_STATE_READY)
	return d
}

// viewTimeout bounds the wait for a view. It allows for a heavily loaded machine.
const viewTimeout = 20 * time.Second

// awaitVersion waits for a view whose routing table has at least the given version.
func (d *daemon) awaitVersion(t *testing.T, version int64) {
	t.Helper()
	deadline := time.After(viewTimeout)
	for {
		if table := d.View().Table; table != nil && table.Version >= version {
			return
		}
		select {
		case <-d.views:
		case <-deadline:
			t.Fatalf("%s has not received table version %d within %s", d.self.Daemon, version, viewTimeout)
		}
	}
}

// TestFleetFollowsStore guards against missing changes of the store after an outage or a compaction.
func TestFleetFollowsStore(t *testing.T) {
	store := standin.New()
	defer store.Close()
	store.Put("table", []byte("1"))
	d := startDaemon(t, "a", store.Address())
	d.awaitVersion(t, 1)
	store.Put("table", []byte("2"))
	d.awaitVersion(t, 2)
	store.SetStatus(http.StatusServiceUnavailable)
	store.Put("table", []byte("3"))
	store.SetStatus(0)
	d.awaitVersion(t, 3)
	store.Compact()
	store.Put("table", []byte("4"))
	d.awaitVersion(t, 4)
}

// TestFleetWithoutStore guards against a daemon that cannot reach the store and does not get the routing table, its
// later versions or the endpoints from a peer.
func TestFleetWithoutStore(t *testing.T) {
	store := standin.New()
	defer store.Close()
	store.Put("table", []byte("1"))
	store.Put("e/1", []byte("p"))
	a := startDaemon(t, "a", store.Address())
	a.awaitVersion(t, 1)
	closed := standin.New()
	closed.Close()
	b := startDaemon(t, "b", closed.Address(), a.self.ControlAddress)
	b.awaitVersion(t, 1)
	if len(b.View().Endpoints) != 1 {
		t.Errorf("endpoints %v", b.View().Endpoints)
	}
	for version := range 3 {
		store.Put("table", []byte(fmt.Sprint(version+2)))
		b.awaitVersion(t, int64(version+2))
	}
}
