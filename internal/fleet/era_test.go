package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// eraCodec decodes an endpoint from its state, its start and its sequence number.
func eraCodec() Codec {
	codec := testCodec
	codec.DecodeEndpoint = func(id string, raw []byte) (traffic.Endpoint, error) {
		e := traffic.Endpoint{ID: id, Pool: "p"}
		_, err := fmt.Sscan(string(raw), &e.State, &e.StartedAtMs, &e.Sequence)
		return e, err
	}
	return codec
}

// TestEndpointOfOlderCopy guards against requests to an endpoint that was leaving or gone before the store came back from a
// copy with an older entry, and against endpoints that are not used although they have written their entry again.
func TestEndpointOfOlderCopy(t *testing.T) {
	const ready, draining = traffic.EndpointReady, traffic.EndpointDraining
	entry := func(state traffic.EndpointState, start, sequence int) []byte {
		return fmt.Appendf(nil, "%d %d %d", state, start, sequence)
	}
	first := func(number int64) int64 { return platform.RevisionInEra(1, number) }
	second := func(number int64) int64 { return platform.RevisionInEra(2, number) }
	for _, c := range []struct {
		desc string
		// known is the entry before the return, nil if the endpoint was removed after it had been ready, copied that of the
		// copy and written what the endpoint writes again 1 s later; nil if it writes nothing.
		known, copied, written []byte
		// ready is whether requests may go to the endpoint at the return, 1.5 s after it and 6 s after it.
		ready [3]bool
	}{
		{"unchanged", entry(ready, 1, 4), entry(ready, 1, 4), nil, [3]bool{true, true, true}},
		{"older entry", entry(ready, 1, 5), entry(ready, 1, 4), entry(ready, 1, 6), [3]bool{true, true, true}},
		{"registered after the copy, writes again", entry(ready, 1, 5), nil, entry(ready, 1, 6), [3]bool{true, true, true}},
		{"registered after the copy, has ended since", entry(ready, 1, 5), nil, nil, [3]bool{true, true, false}},
		{"was leaving", entry(draining, 1, 5), entry(ready, 1, 4), nil, [3]bool{false, false, false}},
		{"was leaving, writes again", entry(draining, 1, 5), entry(ready, 1, 4), entry(draining, 1, 6), [3]bool{false, false, false}},
		{"was leaving, restarted", entry(draining, 1, 5), entry(ready, 1, 4), entry(ready, 2, 1), [3]bool{false, true, true}},
		{"leaves at the return", entry(ready, 1, 5), entry(draining, 1, 6), nil, [3]bool{false, false, false}},
		{"without sequence numbers, leaves at the return", entry(ready, 0, 0), entry(draining, 0, 0), nil, [3]bool{false, false, false}},
		{"was removed", nil, entry(ready, 1, 4), nil, [3]bool{false, false, true}},
		{"was removed, writes again", nil, entry(ready, 1, 4), entry(ready, 1, 6), [3]bool{false, true, true}},
		{"registered again before the listing", nil, entry(ready, 1, 6), nil, [3]bool{true, true, true}},
	} {
		s := NewState(eraCodec(), nil)
		s.ApplyListing(testTime, first(100), []platform.KeyValue{{Key: "e/1", ModRevision: first(50), Value: entry(ready, 1, 4)}})
		if c.known == nil {
			s.Apply(testTime, "e/1", first(101), entry(ready, 1, 5))
		}
		s.Apply(testTime, "e/1", first(102), c.known)
		s.Advance(first(102))
		back := testTime.Add(time.Minute)
		var listed []platform.KeyValue
		if c.copied != nil {
			listed = append(listed, platform.KeyValue{Key: "e/1", ModRevision: second(50), Value: c.copied})
		}
		s.ApplyListing(back, second(60), listed)
		for i, after := range []time.Duration{0, 1500 * time.Millisecond, 6 * time.Second} {
			if i == 1 && c.written != nil {
				s.Apply(back.Add(time.Second), "e/1", second(70), c.written)
			}
			if got := len(s.View(back.Add(after)).ByPool["p"]) > 0; got != c.ready[i] {
				t.Errorf("%s: %s after the return in use %v, want %v", c.desc, after, got, c.ready[i])
			}
		}
	}
}

// TestTableOfOlderCopy guards against a routing table that comes back into force with an older copy of the store, also at a
// daemon that starts after the return, and against an operator's table that is ignored because its revision is low.
func TestTableOfOlderCopy(t *testing.T) {
	table := func(revision int64, version int) []platform.KeyValue {
		return []platform.KeyValue{{Key: "table", ModRevision: revision, Value: fmt.Append(nil, version)}}
	}
	want := func(f *Fleet, when string, version int64) {
		t.Helper()
		if got := f.View().Table.Version; got != version {
			t.Errorf("%s: daemon %s has version %d in force, want %d", when, f.opts.Self.Daemon, got, version)
		}
	}
	first, second := platform.RevisionInEra(1, 0), platform.RevisionInEra(2, 0)
	witness, started := newNamedFleet(t, "witness"), newNamedFleet(t, "started")
	witness.applyListing(table(first+10, 10), first+10)
	witness.applyListing(table(first+90, 20), first+90)
	copied := table(second+10, 10)
	for _, f := range []*Fleet{witness, started} {
		f.applyListing(copied, second+10)
	}
	want(witness, "after the return", 20)
	pullNow(t, witness, started)
	want(started, "after a pull", 20)
	pullNow(t, started, witness)
	started.applyListing(copied, second+11)
	want(witness, "after a pull from the other", 20)
	want(started, "after another listing", 20)
	witness.applyListing(table(second+20, 20), second+20)
	deliverReport(t, witness, started)
	want(started, "written again", 20)
	witness.applyListing(table(second+30, 30), second+30)
	deliverReport(t, witness, started)
	want(started, "next version", 30)
	// A daemon that has not seen the return tells of the era before.
	late := newNamedFleet(t, "late")
	late.applyListing(table(first+90, 20), first+90)
	deliverReport(t, late, started)
	pullNow(t, late, started)
	want(started, "after a report of the earlier era", 30)
	pullNow(t, started, late)
	want(late, "after a pull from the new era", 30)
}

// TestReturnInSimulatedFleets guards against daemons of small and large fleets that do not follow the store after its return from
// an older copy, go back to an older table, lose endpoints that write again, or call the store as often as there are pairs of
// daemons.
func TestReturnInSimulatedFleets(t *testing.T) {
	warmUp(t)
	const (
		age, away = 5 * time.Second, time.Second
		// inForce is the time within which a table must be in force.
		inForce = 2 * time.Second
		// settled is the time after the return in which no daemon may lose an endpoint.
		settled = 4 * time.Second
	)
	for _, n := range []int{3, 8, 30, *simSize} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSim(t, n, 7)
				defer s.stop()
				time.Sleep(age)
				s.store.put("table", simTable(2, 6<<10))
				s.store.put("e/engine-new", []byte("pool-0"))
				time.Sleep(inForce)
				s.store.setDown(true)
				time.Sleep(away)
				s.store.restore(age)
				s.store.setDown(false)
				calls := s.store.callCount()
				time.Sleep(500 * time.Millisecond)
				s.store.put("table", simTable(2, 6<<10))
				s.store.put("e/engine-new", []byte("pool-0"))
				if took := s.change(3, 6<<10); took > inForce {
					t.Errorf("version 3 in force after %s", took)
				}
				time.Sleep(settled)
				// At rest relays call once a second; in the disorder each daemon may call a few times.
				if made := s.store.callCount() - calls; made > 100+6*n {
					t.Errorf("%d calls to the store since its return", made)
				}
				for _, d := range s.daemons {
					v := d.View()
					if v.Table.Version != 3 || len(v.Endpoints) != 241 {
						t.Errorf("%s: version %d, %d endpoints", d.opts.Self.Daemon, v.Table.Version, len(v.Endpoints))
					}
					if d.wentBack {
						t.Errorf("%s went back to an older table", d.opts.Self.Daemon)
					}
				}
			})
		})
	}
}
