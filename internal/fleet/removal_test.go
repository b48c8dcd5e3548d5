package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/platform"
)

// history is the list of all changes of a store, whose revisions are their positions, from 1.
type history []platform.Event

func (h *history) change(key string, value []byte) {
	kv := platform.KeyValue{Key: key, Value: value, ModRevision: int64(len(*h) + 1)}
	*h = append(*h, platform.Event{KV: kv, Deleted: value == nil})
}

// latest returns the last change of each key up to a revision.
func (h history) latest(revision int64) map[string]platform.Event {
	latest := map[string]platform.Event{}
	for _, e := range h[:revision] {
		latest[e.KV.Key] = e
	}
	return latest
}

// listing returns the keys as of a revision.
func (h history) listing(revision int64) (all []platform.KeyValue) {
	for _, e := range h.latest(revision) {
		if !e.Deleted {
			all = append(all, e.KV)
		}
	}
	return all
}

// removedAfter reports whether a key was removed after a revision.
func (h history) removedAfter(key string, revision int64) bool {
	return slices.ContainsFunc(h[revision:], func(e platform.Event) bool { return e.KV.Key == key && e.Deleted })
}

// isReplica returns an error if the state of a daemon is not complete up to its revision.
func (h history) isReplica(f *Fleet) error {
	revision := f.state.Revision()
	if revision > int64(len(h)) {
		return fmt.Errorf("revision %d, the store has %d", revision, len(h))
	}
	for key, e := range h.latest(revision) {
		r := f.state.records[key]
		switch {
		case !f.state.relevant(key):
		case e.Deleted && r != nil && r.value != nil && r.revision < e.KV.ModRevision:
			return fmt.Errorf("complete up to %d, but %s was removed at %d", revision, key, e.KV.ModRevision)
		case e.Deleted:
		case r == nil && h.removedAfter(key, e.KV.ModRevision):
			// The daemon has read the store as of after the removal.
		case r == nil || r.revision < e.KV.ModRevision:
			return fmt.Errorf("complete up to %d, but the change of %s at %d is missing", revision, key, e.KV.ModRevision)
		}
	}
	return nil
}

// deliverReport passes a report from one daemon to another one, which pulls from the first if it is behind after it.
func deliverReport(t rapid.TB, from, to *Fleet) {
	to.handleReport(from.buildReport(false, true))
	if to.state.Revision() < from.state.Revision() {
		pullNow(t, from, to)
	}
}

// pullNow pulls the state of one daemon into another one.
func pullNow(t rapid.TB, from, to *Fleet) {
	reply, err := from.Sync(context.Background(), to.syncRequest(false))
	if err == nil {
		reply, err = decompressReply(reply)
	}
	if err != nil {
		t.Fatal(err)
	}
	to.applyReply(from.opts.Self, reply)
}

// TestRemovalIsNotMissed guards against daemons that go on to use a removed endpoint for good, because they learn of a
// newer revision from a daemon that started after the removal and therefore has no record of it.
func TestRemovalIsNotMissed(t *testing.T) {
	h := history{}
	h.change("table", []byte("1"))
	h.change("e/1", []byte("p"))
	h.change("e/2", []byte("p"))
	h.change("e/1", nil)
	for _, c := range []struct {
		desc string
		// known is the revision of the listing with which the daemon began. restarted is that of another daemon.
		known, restarted int64
		share            func(t rapid.TB, from, to *Fleet)
	}{
		{"report after a stale listing", 3, 4, deliverReport},
		{"pull after a stale listing", 3, 4, pullNow},
		{"report of an older listing, then of a newer one", 2, 4, func(t rapid.TB, from, to *Fleet) {
			between := newNamedFleet(t, "c")
			between.applyListing(h.listing(3), 3)
			deliverReport(t, between, to)
			deliverReport(t, from, to)
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			restarted, outdated := newNamedFleet(t, "a"), newNamedFleet(t, "b")
			restarted.applyListing(h.listing(c.restarted), c.restarted)
			outdated.applyListing(h.listing(c.known), c.known)
			c.share(t, restarted, outdated)
			if _, ok := outdated.View().Endpoints["1"]; ok {
				t.Error("the removed endpoint is in use")
			}
			if err := h.isReplica(outdated); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestRevisionIsTrue guards against a daemon whose state lacks a change or a removal up to the revision that it states,
// whatever it has read from the store and from other daemons, and in which order.
func TestRevisionIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := history{}
		h.change("table", []byte("1"))
		var daemons []*Fleet
		for i := range 4 {
			daemons = append(daemons, newNamedFleet(t, fmt.Sprint("d", i)))
		}
		read := make([]int64, len(daemons))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			f := daemons[n]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				key := fmt.Sprintf("e/%d", rapid.IntRange(0, 3).Draw(t, "key"))
				var value []byte
				if rapid.Bool().Draw(t, "put") {
					value = []byte("p")
				}
				h.change(key, value)
			case 2:
				h.change(rapid.SampledFrom([]string{"table", "d/irrelevant"}).Draw(t, "key"), fmt.Append(nil, len(h)))
			case 3: // The daemon restarts and lists the store.
				f = newNamedFleet(t, f.opts.Self.Daemon)
				daemons[n] = f
				read[n] = rapid.Int64Range(1, int64(len(h))).Draw(t, "as of")
				f.applyListing(h.listing(read[n]), read[n])
			case 4: // The daemon watches the store.
				from := max(read[n], f.state.Revision())
				read[n] = rapid.Int64Range(from, int64(len(h))).Draw(t, "up to")
				f.updateState(func(now time.Time, s *State) bool { return applyEvents(now, s, h[from:read[n]]) })
			case 5:
				deliverReport(t, daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "from")], f)
			case 6:
				pullNow(t, daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "from")], f)
			case 7:
				f.mu.Lock()
				f.state.ExpireTombstones(time.Now().Add(2 * tombstoneRetention))
				f.mu.Unlock()
			}
			for _, f := range daemons {
				if err := h.isReplica(f); err != nil {
					t.Fatalf("%s: %v", f.opts.Self.Daemon, err)
				}
			}
		}
	})
}

// TestRestartAfterRemoval guards against daemons that use a removed endpoint after all of them were killed and began with
// reads of the store, some of them as of before the removal.
func TestRestartAfterRemoval(t *testing.T) {
	warmUp(t)
	const (
		downAfter = 500 * time.Millisecond
		downFor   = 500 * time.Millisecond
		// inTouchAfter is the time after the start from which a daemon must not use the endpoint.
		inTouchAfter = 3 * time.Second
	)
	for _, n := range []int{8, 30, *simSize} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSim(t, n, 5)
				defer s.stop()
				// Relays watch the store, so a relay that is no seed would see the removal.
				s.seeds = nil
				for _, d := range s.relays() {
					s.seeds = append(s.seeds, d.opts.Self.ControlAddress)
				}
				s.store.remove("e/engine-7")
				time.Sleep(downAfter)
				for _, d := range s.daemons {
					d.kill()
				}
				time.Sleep(downFor)
				// So would a daemon that starts at the same moment as the seeds and watches until it hears from them.
				s.pauseAfterSeeds = downFor
				s.start(n)
				time.Sleep(inTouchAfter)
				for _, d := range s.daemons {
					if _, ok := d.View().Endpoints["engine-7"]; ok && !d.dead {
						t.Errorf("%s uses the removed endpoint", d.opts.Self.Daemon)
					}
				}
			})
		})
	}
}
