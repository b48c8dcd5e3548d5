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

// daemon is a membership and a replica with their connections to other daemons.
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
	service := &peerconn.ServiceFuncs{
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

// startCluster starts daemons that join through the first one.
func startCluster(t *testing.T, n *clustertest.Network, count int) []*daemon {
	t.Helper()
	var cluster []*daemon
	for i := range count {
		cluster = append(cluster, startDaemon(t, n, i, "10.0.0.0:7000"))
	}
	return cluster
}

func stopCluster(cluster []*daemon) {
	for _, d := range cluster {
		d.stop()
	}
}

// TestPropagation guards against slow propagation: a new version must reach 8 daemons within 1 s.
func TestPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startCluster(t, clustertest.NewNetwork(), 8)
		time.Sleep(10 * time.Second)
		for _, d := range cluster {
			if got := len(d.members.Live()); got != 8 {
				t.Errorf("%s sees %d live members, want 8", d.address, got)
			}
		}
		if !cluster[3].docs.Publish("config", 7, []byte("x")) {
			t.Fatal("publish refused")
		}
		time.Sleep(time.Second)
		for _, d := range cluster {
			if v, _ := d.docs.Get("config"); v != 7 {
				t.Errorf("%s has version %d after 1 s, want 7", d.address, v)
			}
		}
		stopCluster(cluster)
	})
}

// TestOlderVersion guards against a document that is replaced by an older version.
func TestOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startCluster(t, clustertest.NewNetwork(), 2)
		defer stopCluster(cluster)
		time.Sleep(5 * time.Second)
		var seen []uint64
		cluster[0].docs.Subscribe(func(name string, version uint64, _ []byte) {
			seen = append(seen, version)
			// A subscriber may publish; the new change is delivered after the current one.
			if name == "a" && version == 3 {
				cluster[0].docs.Publish("b", 30, nil)
			}
		})
		for _, p := range []struct {
			version uint64
			ok      bool
		}{{3, true}, {2, false}, {3, false}, {4, true}} {
			if got := cluster[0].docs.Publish("a", p.version, nil); got != p.ok {
				t.Errorf("publish of version %d returned %v, want %v", p.version, got, p.ok)
			}
		}
		time.Sleep(time.Second)
		if v, _ := cluster[1].docs.Get("a"); v != 4 {
			t.Errorf("peer has version %d, want 4", v)
		}
		if fmt.Sprint(seen) != "[3 30 4]" {
			t.Errorf("subscriber saw %v, want [3 30 4]", seen)
		}
		if got := cluster[0].docs.counters.older.Count(); got != 1 {
			t.Errorf("%d older versions counted, want 1", got)
		}
	})
}

// TestCatchUp guards against a daemon that misses documents published while it was partitioned,
// including documents that do not fit into one reply.
func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		cluster := startCluster(t, n, 4)
		defer stopCluster(cluster)
		time.Sleep(5 * time.Second)
		for _, d := range cluster[1:] {
			n.CutBoth(cluster[0].address, d.address)
		}
		for i := range 6 {
			cluster[1].docs.Publish(fmt.Sprint("part", i), 2, make([]byte, 700<<10))
		}
		// After 3 s packets no longer list the documents individually.
		time.Sleep(3 * time.Second)
		n.Heal()
		time.Sleep(maxConfirmationAge + confirmationCheckInterval + 2*syncTimeout)
		for i := range 6 {
			if v, content := cluster[0].docs.Get(fmt.Sprint("part", i)); v != 2 || len(content) != 700<<10 {
				t.Errorf("part %d: version %d with %d bytes, want 2", i, v, len(content))
			}
		}
	})
}

// TestLeave guards against a leave that returns before all members have stopped using the daemon,
// or that waits without limit for a member that does not answer.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		cluster := startCluster(t, n, 4)
		defer stopCluster(cluster)
		time.Sleep(5 * time.Second)
		start := time.Now()
		if err := cluster[3].members.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("leave took %s with all members up", took)
		}
		for _, d := range cluster {
			if got := len(d.members.Live()); got != 3 {
				t.Errorf("%s sees %d live members after the leave, want 3", d.address, got)
			}
		}
		n.CutBoth(cluster[0].address, cluster[2].address)
		start = time.Now()
		if err := cluster[2].members.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took < 4*time.Second || took > 7*time.Second {
			t.Errorf("leave took %s with one member cut off, want the suspicion timeout", took)
		}
		if got := len(cluster[0].members.Live()); got != 2 {
			t.Errorf("the member that was cut off sees %d live members, want 2", got)
		}
	})
}

// BenchmarkPropagation measures, in virtual time, how long a new document version takes to reach
// all daemons of a cluster, on a network without latency.
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

// propagate returns the time until a new document version has reached all daemons.
func propagate(t *testing.T, count int) time.Duration {
	cluster := startCluster(t, clustertest.NewNetwork(), count)
	defer stopCluster(cluster)
	time.Sleep(20 * time.Second)
	cluster[count/2].docs.Publish("config", 7, make([]byte, 10<<10))
	start := time.Now()
	for _, d := range cluster {
		for v := uint64(0); v != 7; v, _ = d.docs.Get("config") {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}
