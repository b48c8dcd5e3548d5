package scheduler

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/peerconn"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/policy"
)

// BenchmarkAcquire measures a request from Acquire to Finish, with the entry daemon and the scheduler in
// one daemon and in two that are connected by TCP over the loopback interface. B/request is the number of
// bytes in both directions.
func BenchmarkAcquire(b *testing.B) {
	for _, remote := range []bool{false, true} {
		b.Run(fmt.Sprintf("remote=%v", remote), func(b *testing.B) { benchmarkAcquire(b, remote) })
	}
}

func benchmarkAcquire(b *testing.B, remote bool) {
	owner := &peer.Member{Id: "owner", Incarnation: 1}
	log := newGrantLog()
	s := New(Config{Members: clustertest.NewView(owner, owner), NewPolicy: func() policy.Policy {
		return &fifo{log: log, running: map[policy.AttemptID]string{}, granted: map[policy.AttemptID]bool{}}
	}})
	server, err := peerconn.NewServer(peerconn.ServerConfig{
		Address: "127.0.0.1:0", Service: &peerconn.ServiceFuncs{OnSchedule: s.Schedule},
	})
	if err != nil {
		b.Fatal(err)
	}
	owner.PeerAddress = server.Address()
	registry := metrics.NewRegistry()
	pool := peerconn.NewPool(peerconn.Config{Metrics: registry})
	cfg := ClientConfig{Members: clustertest.NewView(owner, owner), Peers: pool, Local: s}
	if remote {
		entry := &peer.Member{Id: "entry", Incarnation: 1}
		cfg = ClientConfig{Members: clustertest.NewView(entry, owner), Peers: pool}
	}
	c := NewClient(cfg)
	snapshot := testSnapshot(b, 4, 64, 0)
	s.SetSnapshot(snapshot)
	c.SetSnapshot(snapshot)
	ctx := b.Context()
	for _, err := range []error{server.Start(ctx), s.Start(ctx), c.Start(ctx)} {
		if err != nil {
			b.Fatal(err)
		}
	}
	run := func(i int) {
		a := acquireMessage(fmt.Sprintf("01J%023d", i))
		a.Workspace, a.Zone, a.Blocks = "workspace-17", "sapporo-1", []uint64{1, 2, 3, 4}
		slot, err := c.Acquire(ctx, "pool", a)
		if err != nil {
			b.Fatal(err)
		}
		finish(slot)
	}
	run(0)
	count := func() int64 {
		return metrics.GetOrRegisterCounter("peer.client.bytes_sent", registry).Count() +
			metrics.GetOrRegisterCounter("peer.client.bytes_received", registry).Count()
	}
	before := count()
	b.ResetTimer()
	for i := range b.N {
		run(i + 1)
	}
	b.ReportMetric(float64(count()-before)/float64(b.N), "B/request")
	b.StopTimer()
	for _, err := range []error{c.Stop(ctx), server.Stop(ctx), s.Stop(ctx), pool.Close()} {
		if err != nil {
			b.Error(err)
		}
	}
}
