package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

// discardSocket is a DatagramSocket that sends and receives nothing.
type discardSocket struct{}

func (discardSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)    { select {} }
func (discardSocket) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }
func (discardSocket) Close() error                                               { return nil }

// newTestFleet returns a fleet that is not started.
func newTestFleet(t *testing.T, onViewChange func(*View)) *Fleet {
	t.Helper()
	return newFleetOf(t, "a", onViewChange)
}

// newNamedFleet returns a fleet of the daemon with the given name that is not started.
func newNamedFleet(t rapid.TB, daemon string) *Fleet {
	t.Helper()
	return newFleetOf(t, daemon, func(*View) {})
}

func newFleetOf(t rapid.TB, daemon string, onViewChange func(*View)) *Fleet {
	t.Helper()
	f, err := New(Options{
		Self: testIdentity(daemon, "z"), Codec: simCodec(), Socket: discardSocket{}, Reporter: simReporter{}, OnViewChange: onViewChange,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// put applies a change of the store.
func (f *Fleet) put(key string, revision int64, value []byte) {
	events := []platform.Event{{KV: platform.KeyValue{Key: key, Value: value, ModRevision: revision}}}
	f.updateState(func(now time.Time, s *State) bool { return applyEvents(now, s, events) })
}

// TestReportHasEntriesOfItsRevision guards against a report that carries a new revision without the entries that changed
// with it: each daemon would pull them although the next report has them.
func TestReportHasEntriesOfItsRevision(t *testing.T) {
	var f *Fleet
	reports := 0
	f = newTestFleet(t, func(v *View) {
		r := f.buildReport(false, false)
		if reports++; r.Revision == v.Revision && len(r.Entries) == 0 {
			t.Errorf("a report of revision %d has no entries", r.Revision)
		}
	})
	f.put("table", 11, simTable(1, 1<<10))
	f.put("table", 12, simTable(2, 1<<10))
	f.put("e/1", 13, []byte("p"))
	if reports != 3 {
		t.Errorf("%d changes of the view, want 3", reports)
	}
}

// TestSyncIsSmall guards against Sync replies that send a large table or all members again for a small change.
func TestSyncIsSmall(t *testing.T) {
	f := newTestFleet(t, func(*View) {})
	for i := range 295 {
		f.members.LearnIdentity(testTime, testIdentity(fmt.Sprintf("d%03d", i), "z"))
	}
	f.put("table", 11, simTable(1, 229<<10))
	ask := func(r *peer.SyncRequest) (int, *peer.SyncReply) {
		reply, err := f.Sync(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		size := proto.Size(reply)
		decoded, err := decompressReply(reply)
		if err != nil {
			t.Fatal(err)
		}
		return size, decoded
	}
	size, reply := ask(&peer.SyncRequest{From: "b"})
	if len(reply.Members) != 296 || len(reply.Documents) != 1 || !bytes.Equal(reply.Documents[0].Content, simTable(1, 229<<10)) {
		t.Errorf("%d members and %d documents for a new daemon", len(reply.Members), len(reply.Documents))
	}
	if size > 64<<10 {
		t.Errorf("%d bytes for a new daemon", size)
	}
	f.put("table", 12, simTable(2, 229<<10))
	size, reply = ask(&peer.SyncRequest{
		From: "b", MemberDigests: f.members.digests[:],
		Versions: []*peer.DocumentVersion{{Name: stateDocument, Version: 11}, {Name: "table", Version: 11}},
	})
	if len(reply.Members) != 0 || len(reply.Documents) != 1 || reply.Documents[0].BaseVersion != 11 {
		t.Errorf("%d members and %d documents for a small change", len(reply.Members), len(reply.Documents))
	}
	if size > 1<<10 {
		t.Errorf("%d bytes for a small change", size)
	}
}

// TestMemberRoundTripsIdentity guards against losing a field of an identity in a Sync call. A call that lost the
// capacity of a daemon would make another daemon the preferred scheduler until the next report with the identity.
func TestMemberRoundTripsIdentity(t *testing.T) {
	id := &peer.Identity{
		Daemon: "a", Zone: "z", Region: "r", Capacity: 800, EntryAddress: "10.0.0.1:80", ControlAddress: "10.0.0.1:81", ReportAddress: "10.0.0.1:82",
	}
	fields := id.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if !id.ProtoReflect().Has(fields.Get(i)) {
			t.Fatalf("the test sets no %s", fields.Get(i).Name())
		}
	}
	if got := identityFromMember(memberFromIdentity(id)); !proto.Equal(got, id) {
		t.Errorf("got %v, want %v", got, id)
	}
}
