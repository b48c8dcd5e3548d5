package membership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/peer"
)

// fakeDocuments answers SyncWith with an error unless succeed is set.
type fakeDocuments struct {
	succeed atomic.Bool
	syncs   atomic.Int64
}

func (*fakeDocuments) HeartbeatVersions() []*peer.DocumentVersion { return nil }

func (*fakeDocuments) ObserveVersions(*peer.Member, []*peer.DocumentVersion) {}

func (f *fakeDocuments) SyncWith(context.Context, *peer.Member) error {
	f.syncs.Add(1)
	if f.succeed.Load() {
		return nil
	}
	return errors.New("no answer")
}

func newMember(t *testing.T, n *clustertest.Network, id, address string, key []byte) (*Membership, *fakeDocuments) {
	t.Helper()
	m, err := New(Config{
		Self:      &peer.Member{Id: id, GossipAddress: address, PeerAddress: address},
		Transport: n.Datagrams(address), ClusterKey: key, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeDocuments{}
	f.succeed.Store(true)
	m.SetDocuments(f)
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return m, f
}

// TestPauseDetection guards against a daemon that issues grants or answers entry requests from an
// outdated view after a pause.
func TestPauseDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := clustertest.NewNetwork()
		a, docs := newMember(t, n, "a", "10.0.0.1:7000", nil)
		b, _ := newMember(t, n, "b", "10.0.0.2:7000", nil)
		a.Merge([]*peer.Member{b.Self()})
		b.Merge([]*peer.Member{a.Self()})
		time.Sleep(3 * time.Second)
		if !a.ViewFresh() {
			t.Fatal("view not fresh before the pause")
		}
		before := a.Self().Incarnation
		docs.succeed.Store(false)
		// Simulates a pause: no goroutine of this process ran for 3 s.
		a.lastTick.Add(-int64(3 * time.Second))
		if a.ViewFresh() {
			t.Error("view fresh before the first tick after the pause")
		}
		time.Sleep(time.Second)
		if a.ViewFresh() {
			t.Error("view fresh without a sync")
		}
		if got := a.Self().Incarnation; got <= before {
			t.Errorf("incarnation %d after the pause, want above %d", got, before)
		}
		changed := make(chan struct{}, 16)
		a.Subscribe(func() { changed <- struct{}{} })
		docs.succeed.Store(true)
		<-changed
		if !a.ViewFresh() {
			t.Error("view not fresh after a sync")
		}
		for _, m := range []*Membership{a, b} {
			if err := m.Stop(t.Context()); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestClusterKey guards against accepting packets that are not authenticated with the cluster key.
func TestClusterKey(t *testing.T) {
	p := &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: 7, From: "a"}
	signed, plain := codec{key: []byte("0123456789abcdef")}, codec{}
	encode := func(c codec) []byte {
		buf, err := c.encode(p)
		if err != nil {
			t.Fatal(err)
		}
		return buf
	}
	changed := encode(signed)
	changed[3] ^= 1
	for _, tc := range []struct {
		desc string
		c    codec
		buf  []byte
		ok   bool
	}{
		{"same key", signed, encode(signed), true},
		{"no key on both sides", plain, encode(plain), true},
		{"other key", codec{key: []byte("fedcba9876543210")}, encode(signed), false},
		{"unsigned packet to a daemon with a key", signed, encode(plain), false},
		{"signed packet to a daemon without a key", plain, encode(signed), false},
		{"changed packet", signed, changed, false},
		{"short packet", signed, encode(signed)[:20], false},
		{"empty packet", plain, nil, false},
	} {
		got, err := tc.c.decode(tc.buf)
		if (err == nil) != tc.ok || (tc.ok && got.Sequence != 7) {
			t.Errorf("%s: packet %v, error %v", tc.desc, got, err)
		}
	}
}

// TestUDP guards against a sender address from Receive that differs from the sender's bound address.
func TestUDP(t *testing.T) {
	a, err := ListenUDP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := ListenUDP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	buf := make([]byte, MaxPacketBytes)
	if err := a.Send(b.Address(), []byte("ping")); err != nil {
		t.Fatal(err)
	}
	n, from, err := b.Receive(buf)
	if err != nil || string(buf[:n]) != "ping" || from != a.Address() {
		t.Fatalf("received %q from %s, error %v; want ping from %s", buf[:n], from, err, a.Address())
	}
}
