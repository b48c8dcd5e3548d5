package replica

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
)

// TestLoopback guards against faults that the in-memory network hides: three daemons join, agree
// and replicate a document over real UDP and TCP sockets on the loopback interface.
func TestLoopback(t *testing.T) {
	var cluster []*daemon
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d := &daemon{address: listener.Addr().String(), pool: peerconn.NewPool(peerconn.Config{})}
		cfg := membership.Config{
			Self:       &peer.Member{Id: fmt.Sprint("d", i), GossipAddress: d.address, PeerAddress: d.address},
			ClusterKey: []byte("0123456789abcdef"), Peers: d.pool,
		}
		if i > 0 {
			cfg.Join = []string{cluster[0].address}
		}
		if d.members, err = membership.New(cfg); err != nil {
			t.Fatal(err)
		}
		d.docs = New(Config{Members: d.members, Peers: d.pool})
		d.server, err = peerconn.NewServer(peerconn.ServerConfig{
			Listener: listener, Service: &peerconn.ServiceFuncs{OnSync: d.docs.Sync},
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, start := range []func(context.Context) error{d.server.Start, d.members.Start, d.docs.Start} {
			if err := start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		cluster = append(cluster, d)
	}
	defer stopCluster(cluster)
	poll(t, "members agree", func(d *daemon) bool { return len(d.members.Live()) == 3 }, cluster)
	cluster[1].docs.Publish("config", 5, []byte("x"))
	poll(t, "document replicated", func(d *daemon) bool {
		v, _ := d.docs.Get("config")
		return v == 5
	}, cluster)
}

// poll waits until all daemons meet a condition, and fails after 10 s.
func poll(t *testing.T, desc string, ok func(*daemon) bool, cluster []*daemon) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, d := range cluster {
		for !ok(d) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not on %s within 10 s", desc, d.address)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
