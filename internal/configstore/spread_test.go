package configstore

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
)

// startDaemons starts daemons that replicate documents to each other.
func startDaemons(t *testing.T, store *kv.Store, ids ...string) []*daemon {
	var daemons []*daemon
	var docs []*clustertest.Documents
	for _, id := range ids {
		d := newDaemon(t, store, id, ids...)
		daemons = append(daemons, d)
		docs = append(docs, d.docs)
	}
	clustertest.Link(docs...)
	return daemons
}

// TestReplication guards against daemons that miss a change when watchers fail, against more than
// watcherCount watches in the deployment, and against snapshots with decreasing revisions.
func TestReplication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"a", "b", "c", "d", "e", "f"}
		daemons := startDaemons(t, kv.NewStore(), ids...)
		wantOutcome(t, "first", daemons[0].Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		time.Sleep(5 * time.Second)
		watches := 0
		for _, d := range daemons {
			watches += d.kv.Counters().Watches
			wantActiveRevision(t, "after the first change", d, 1, "day")
		}
		if watches != watcherCount {
			t.Errorf("%d watches, want %d", watches, watcherCount)
		}
		// Two watchers fail, and the writer is not linked to the other daemons.
		var live []string
		failed := 0
		for _, d := range daemons {
			if d.kv.Counters().Watches > 0 && failed < 2 {
				failed++
				d.stop()
				continue
			}
			live = append(live, d.members.Self().Id)
		}
		for _, d := range daemons {
			d.members.SetLive(live...)
		}
		time.Sleep(time.Second)
		writer := newDaemon(t, daemons[0].kv.Store(), "writer", "writer")
		wantOutcome(t, "switch", writer.SwitchPreset(t.Context(), alice, "peak", 1), Accepted, 2)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, d := range daemons {
			if slices.Contains(live, d.members.Self().Id) {
				wantActiveRevision(t, "after the failure of watchers", d, 2, "peak")
				if !slices.IsSorted(d.revisions) {
					t.Errorf("revisions %v", d.revisions)
				}
			}
		}
	})
}

// TestOutageStart guards against a daemon that cannot get the configuration from its peers while the
// service is down, and against one without peers that does not read it from the service.
func TestOutageStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		a := newDaemon(t, store, "a", "a", "b", "c", "d", "e")
		wantOutcome(t, "first", a.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		b := newDaemon(t, store, "b", "a", "b", "c", "d", "e")
		b.kv.SetHang(true)
		clustertest.Link(a.docs, b.docs)
		time.Sleep(time.Second)
		wantActiveRevision(t, "from a peer", b, 1, "day")
		if b.SwitchPreset(t.Context(), alice, "peak", 1).Outcome != Rejected {
			t.Error("a change during an outage is not rejected")
		}
		c := newDaemon(t, store, "c", "a", "b", "c", "d", "e")
		time.Sleep(peerTimeout + 2*time.Second)
		wantActiveRevision(t, "from the service", c, 1, "day")
	})
}

var rangeAll = platform.RangeRequest{Key: dataPrefix, Prefix: true}

// restoreKey writes an old key-value pair back, as a service restored from a backup would have it.
func restoreKey(t *testing.T, store *kv.Store, old platform.KeyValue) {
	t.Helper()
	if _, err := store.Txn(platform.Txn{Then: []platform.Op{{Key: old.Key, Value: old.Value}}}); err != nil {
		t.Fatal(err)
	}
}

// TestOlderPeer guards against a newer head that is replaced by an older one, from a peer that restarts
// with old documents or from a service restored from a backup.
func TestOlderPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		daemons := startDaemons(t, store, "a", "b")
		a, b := daemons[0], daemons[1]
		wantOutcome(t, "first", a.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		old := store.Range(rangeAll)
		wantOutcome(t, "second", a.SwitchPreset(t.Context(), alice, "peak", 1), Accepted, 2)
		time.Sleep(time.Second)
		b.docs.Unlink()
		// The service is restored with the data of revision 1.
		for _, kv := range old.KVs {
			restoreKey(t, store, kv)
		}
		time.Sleep(5 * time.Second)
		for _, d := range daemons {
			wantActiveRevision(t, "after the restoration", d, 2, "peak")
			if d.counters.olderHeads.Count() == 0 {
				t.Error("the older head is not counted")
			}
		}
		if b.docs.Publish(keyHead, 1, old.KVs[0].Value) {
			t.Error("an older document is stored")
		}
		// The revision of a change after the data loss must be above that of the daemons' snapshots.
		clustertest.Link(a.docs, b.docs)
		wantOutcome(t, "after the loss", a.SwitchPreset(t.Context(), alice, "night", 1), Accepted, 3)
		time.Sleep(time.Second)
		for _, d := range daemons {
			wantActiveRevision(t, "after the loss", d, 3, "night")
		}
	})
}

// TestMissingPart guards against a snapshot that mixes parts of two revisions, and against a daemon that
// waits indefinitely for a missing part.
func TestMissingPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		a := newDaemon(t, store, "a", "a")
		wantOutcome(t, "first", a.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		changed := testConfig()
		changed.Workspaces[7].Weight = 2
		wantOutcome(t, "second", a.Apply(t.Context(), alice, changed, 1), Accepted, 2)
		// b is not a watcher and receives only the head from its peers.
		b := newDaemon(t, store, "b", "w", "x", "y")
		version, raw := a.docs.Get(keyHead)
		b.docs.Publish(keyHead, version, raw)
		time.Sleep(peerTimeout / 2)
		if b.Snapshot() != nil {
			t.Error("a snapshot without parts")
		}
		time.Sleep(2 * peerTimeout)
		wantActiveRevision(t, "after reading the service", b, 2, "day")
		if w := b.Snapshot().Workspaces["w07"]; w.Weight != 2 {
			t.Errorf("workspace %+v is of the older revision", w)
		}
	})
}
