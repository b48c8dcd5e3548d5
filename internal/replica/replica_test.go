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

// TestOlderVersion guards against a document that goes back to an older version.
func TestOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, clustertest.NewNetwork(), 2)
		defer stopFleet(fleet)
		time.Sleep(5 * time.Second)
		var seen []uint64
		fleet[0].docs.Subscribe(func(name string, version uint64, _ []byte) {
			seen = append(seen, version)
			// A subscriber may publish; the change follows the current one.
			if name == "a" && version == 3 {
				fleet[0].docs.Publish("b", 30, nil)
			}
		})
		for _, p := range []struct {
			version uint64
			ok      bool
		}{{3, true}, {2, false}, {3, false}, {4, true}} {
			if got := fleet[0].docs.Publish("a", p.version, nil); got != p.ok {
				t.Errorf("publish of version %d returned %v, want %v", p.version, got, p.ok)
			}
		}
		time.Sleep(time.Second)
		if v, _ := fleet[1].docs.Get("a"); v != 4 {
			t.Errorf("peer has version %d, want 4", v)
		}
		if fmt.Sprint(seen) != "[3 30 4]" {
			t.Errorf("subscriber saw %v, want [3 30 4]", seen)
		}
		if got := fleet[0].docs.counters.older.Count(); got != 1 {
			t.Errorf("%d older versions counted, want 1", got)
		}
	})
}

// TestCatchUp guards against a daemon that stays behind after it was cut off while documents changed,
// also when they do not fit into one reply.
func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		fleet := startFleet(t, n, 4)
		defer stopFleet(fleet)
		time.Sleep(5 * time.Second)
		for _, d := range fleet[1:] {
			n.CutBoth(fleet[0].address, d.address)
		}
		for i := range 6 {
			fleet[1].docs.Publish(fmt.Sprint("part", i), 2, make([]byte, 700<<10))
		}
		// Long enough that packets no longer name the documents.
		time.Sleep(3 * time.Second)
		n.Heal()
		time.Sleep(maxConfirmationAge + confirmationCheckInterval + 2*syncTimeout)
		for i := range 6 {
			if v, content := fleet[0].docs.Get(fmt.Sprint("part", i)); v != 2 || len(content) != 700<<10 {
				t.Errorf("part %d: version %d with %d bytes, want 2", i, v, len(content))
			}
		}
	})
}

// TestLeave guards against a planned stop that returns before every member has stopped naming the
// daemon, or that waits for ever for one that does not answer.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		fleet := startFleet(t, n, 4)
		defer stopFleet(fleet)
		time.Sleep(5 * time.Second)
		start := time.Now()
		if err := fleet[3].members.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("leave took %s with all members up", took)
		}
		for _, d := range fleet {
			if got := len(d.members.Live()); got != 3 {
				t.Errorf("%s sees %d live members after the leave, want 3", d.address, got)
			}
		}
		n.CutBoth(fleet[0].address, fleet[2].address)
		start = time.Now()
		if err := fleet[2].members.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < 4*time.Second || took > 7*time.Second {
			t.Errorf("leave took %s with one member cut off, want the suspicion timeout", took)
		}
		if got := len(fleet[0].members.Live()); got != 2 {
			t.Errorf("the member that was cut off sees %d live members, want 2", got)
		}
	})
}

// BenchmarkPropagation measures, in virtual time, how long a new document version takes to reach all
// daemons of a fleet, over a network without latency.
func BenchmarkPropagation(b *testing.B) {
	for _, count := range []int{8, 64, 390} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			var total time.Duration
			for range b.N {
				// synctest needs a *testing.T; the benchmark only reports its result.
				testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
					Name: b.Name(), F: func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { total += propagate(t, count) })
					},
				}})
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s-virtual")
		})
	}
}

func propagate(t *testing.T, count int) time.Duration {
	fleet := startFleet(t, clustertest.NewNetwork(), count)
	defer stopFleet(fleet)
	time.Sleep(20 * time.Second)
	fleet[count/2].docs.Publish("config", 7, make([]byte, 10<<10))
	start := time.Now()
	for _, d := range fleet {
		for v := uint64(0); v != 7; v, _ = d.docs.Get("config") {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}
