package fleet_test

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/platform/managed/standin"
	"github.com/chivewind/chivewind/traffic"
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
	return startDaemonWith(t, fleet.TestCodec, 300*time.Millisecond, name, store, seeds...)
}

// startDaemonWith starts a daemon with a codec and a time limit for calls to the store.
func startDaemonWith(t *testing.T, codec fleet.Codec, timeout time.Duration, name, store string, seeds ...string) *daemon {
	t.Helper()
	kv := &managed.Store{Address: store, Timeout: config.Duration(timeout), WatchWait: config.Duration(300 * time.Millisecond)}
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
		Codec: codec, KV: kv, Peers: pool, Seeds: seeds, MinLeaseTTL: time.Second, DrainBound: 2 * time.Second,
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

// TestStoreFromOlderCopy guards against daemons that go on with the revisions of the time before the store came back from an
// older copy: they took no new routing table, listed the store without a pause, and could bring an old table into force.
func TestStoreFromOlderCopy(t *testing.T) {
	const daemons, endpoints = 5, 4
	store := standin.New()
	defer store.Close()
	register := func() {
		for i := range endpoints {
			store.Put(fmt.Sprint("e/", i), []byte("p"))
		}
	}
	store.Put("table", []byte("1"))
	var all []*daemon
	for i := range daemons {
		var seeds []string
		if i > 0 {
			seeds = []string{all[0].self.ControlAddress}
		}
		d := startDaemon(t, fmt.Sprint("daemon-", i), store.Address(), seeds...)
		d.awaitVersion(t, 1)
		all = append(all, d)
	}
	for era := range 3 {
		before := int64(10*era + 2)
		older := store.Snapshot()
		register()
		// The revisions before the return are well above those after it.
		for range 50 {
			store.Put("other", nil)
		}
		store.Put("table", fmt.Append(nil, before))
		for _, d := range all {
			d.awaitVersion(t, before)
			d.awaitEndpoints(t, endpoints)
			d.clearViews()
		}
		listings := store.Calls("kv-range")
		store.Restore(older)
		time.Sleep(300 * time.Millisecond)
		register()
		store.Put("table", fmt.Append(nil, before))
		store.Put("table", fmt.Append(nil, before+1))
		for _, d := range all {
			d.awaitVersion(t, before+1)
			for len(d.views) > 0 {
				if v := <-d.views; v.Table.Version < before || len(v.Endpoints) != endpoints {
					t.Errorf("%s: version %d and %d endpoints after the return, want at least %d and %d", d.self.Daemon, v.Table.Version, len(v.Endpoints), before, endpoints)
				}
			}
		}
		// A listing of few keys takes several calls.
		if n := store.Calls("kv-range") - listings; n > 20*daemons {
			t.Errorf("%d calls to list the store after its return", n)
		}
	}
}

// awaitEndpoints waits for a view with n endpoints.
func (d *daemon) awaitEndpoints(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(viewTimeout); len(d.View().Endpoints) != n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: endpoints %v, want %d", d.self.Daemon, d.View().Endpoints, n)
		}
	}
}

// clearViews discards the views so far.
func (d *daemon) clearViews() {
	for len(d.views) > 0 {
		<-d.views
	}
}

// TestStoreWithoutItsRevisions guards against listing the store without a pause while it does not have the revisions of its own
// listings, as after its return from an older copy without an era.
func TestStoreWithoutItsRevisions(t *testing.T) {
	store := standin.New()
	defer store.Close()
	store.Put("table", []byte("1"))
	var all []*daemon
	for i := range 3 {
		d := startDaemon(t, fmt.Sprint("daemon-", i), store.Address(), addresses(all)...)
		d.awaitVersion(t, 1)
		all = append(all, d)
	}
	for len(all[2].EntryAddresses("z")) < len(all) {
		time.Sleep(5 * time.Millisecond)
	}
	store.CompactAll(true)
	before := store.Calls("kv-range")
	const period = 2 * time.Second
	time.Sleep(period)
	// Each daemon waits for up to 0.6 s between two listings.
	if n := store.Calls("kv-range") - before; n > 30*len(all) {
		t.Errorf("%d calls to list the store in %s", n, period)
	}
	store.CompactAll(false)
	store.Put("table", []byte("2"))
	for _, d := range all {
		d.awaitVersion(t, 2)
	}
}

// addresses returns the control addresses of daemons.
func addresses(daemons []*daemon) (addresses []string) {
	for _, d := range daemons {
		addresses = append(addresses, d.self.ControlAddress)
	}
	return addresses
}

// TestLargeEntries guards against daemons that never get a new routing table because the entries of another writer make the
// state too large for a message: entries that are unreadable, hold much that is not read, or are large in what is.
func TestLargeEntries(t *testing.T) {
	const (
		// All daemons but one are relays.
		daemons    = 4
		entries    = 10
		entryBytes = 1 << 20
		tableBytes = 64 << 10
		// storeTimeout allows for a stand-in that takes long to encode all entries in one reply.
		storeTimeout = 10 * time.Second
	)
	noise := func(n int) []byte {
		b := make([]byte, n)
		_, _ = rand.Read(b)
		return b
	}
	codec := fleet.TestCodec
	codec.DecodeTable = func(raw []byte) (*traffic.Table, error) {
		version, _, _ := strings.Cut(string(raw), "\n")
		v, err := strconv.ParseInt(version, 10, 64)
		return &traffic.Table{Version: v}, err
	}
	table := func(version int) []byte { return append(fmt.Appendf(nil, "%d\n", version), noise(tableBytes)...) }
	registry := codec
	registry.DecodeEndpoint, registry.EncodeEndpoint = managed.DecodeEndpoint, managed.EncodeEndpoint
	for _, c := range []struct {
		desc  string
		codec fleet.Codec
		entry func() []byte
		// small is whether daemons keep little of the entries.
		small bool
	}{
		{"unreadable", registry, func() []byte { return noise(entryBytes) }, true},
		{"with unknown fields", registry, func() []byte {
			const good = `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","x":%q}`
			return fmt.Appendf(nil, good, base64.StdEncoding.EncodeToString(noise(entryBytes*3/4-1000)))
		}, true},
		{"large in what is read", codec, func() []byte { return noise(entryBytes) }, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			store := standin.New()
			defer store.Close()
			store.Put("table", table(1))
			var all []*daemon
			for i := range daemons {
				d := startDaemonWith(t, c.codec, storeTimeout, fmt.Sprint("daemon-", i), store.Address(), addresses(all)...)
				d.awaitVersion(t, 1)
				all = append(all, d)
			}
			time.Sleep(time.Second)
			written := map[string][]byte{}
			for i := range entries {
				written[fmt.Sprint("e/", i)] = c.entry()
			}
			store.PutAll(written)
			store.Put("table", table(2))
			for _, d := range all {
				d.awaitVersion(t, 2)
			}
			reply, err := all[0].Sync(context.Background(), &peer.SyncRequest{From: "new"})
			if err != nil {
				t.Fatal(err)
			}
			if n := proto.Size(reply); c.small && n > 2*tableBytes {
				t.Errorf("%d bytes for a new daemon", n)
			}
		})
	}
}
