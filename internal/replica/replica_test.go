package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/membership"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
)

// daemon is a membership and a replica over an in-memory network.
type daemon struct {
	address string
	members *membership.Membership
	docs    *Replica
	pool    *peerconn.Pool
	server  *peerconn.Server
}

func startDaemon(t *testing.T, n *clustertest.Network, i int, join ...string) *daemon {
	t.Helper()
	address := fmt.Sprintf("10.0.0.%d:7000", i)
	d := &daemon{address: address}
	d.pool = peerconn.NewPool(peerconn.Config{Dial: n.Dialer(address)})
	m, err := membership.New(membership.Config{
		Self:      &peer.Member{Id: fmt.Sprintf("d%03d", i), GossipAddress: address, PeerAddress: address},
		Transport: n.Datagrams(address), ClusterKey: []byte("0123456789abcdef"),
		Join: join, Peers: d.pool, Seed: uint64(i) + 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	d.members = m
	d.docs = New(Config{Members: m, Peers: d.pool, Seed: uint64(i) + 1})
	service := &peerconn.Service{
		OnSync: d.docs.Sync,
		OnAnnounce: func(_ context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
			m.HandleAnnounce(r)
			return &peer.AnnounceReply{}, nil
		},
	}
	d.server, err = peerconn.NewServer(peerconn.ServerConfig{Listener: n.Listen(address), Service: service})
	if err != nil {
		t.Fatal(err)
	}
	for _, start := range []func(context.Context) error{d.server.Start, d.members.Start, d.docs.Start} {
		if err := start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func (d *daemon) stop() {
	ctx := context.Background()
	_ = d.docs.Stop(ctx)
	_ = d.members.Stop(ctx)
	_ = d.pool.Close()
	_ = d.server.Stop(ctx)
}

// startFleet starts daemons that join through the first one.
func startFleet(t *testing.T, n *clustertest.Network, count int) []*daemon {
	t.Helper()
	var fleet []*daemon
	for i := range count {
		fleet = append(fleet, startDaemon(t, n, i, "10.0.0.0:7000"))
	}
	return fleet
}

func stopFleet(fleet []*daemon) {
	for _, d := range fleet {
		d.stop()
	}
}

// TestPropagation guards against slow propagation: a new version must reach 8 daemons within 1 s.
func TestPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, clustertest.NewNetwork(), 8)
		time.Sleep(10 * time.Second)
		for _, d := range fleet {
			if got := len(d.members.Live()); got != 8 {
				t.Errorf("%s sees %d live members, want 8", d.address, got)
			}
		}
		if !fleet[3].docs.Publish("config", 7, []byte("x")) {
			t.Fatal("publish refused")
		}
		time.Sleep(time.Second)
		for _, d := range fleet {
			if v, _ := d.docs.Get("config"); v != 7 {
				t.Errorf("%s has version %d after 1 s, want 7", d.address, v)
			}
		}
		stopFleet(fleet)
	})
}
