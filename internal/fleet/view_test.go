package fleet

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// testCodec decodes a routing table from its version, and an endpoint from the name of its pool, prefixed with "-" if
// the endpoint is draining.
var testCodec = Codec{
	TableKey: "table", EndpointPrefix: "e/", DaemonPrefix: "d/",
	DecodeTable: func(raw []byte) (*traffic.Table, error) {
		version, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil {
			return nil, err
		}
		return &traffic.Table{Version: version}, nil
	},
	DecodeEndpoint: func(id string, raw []byte) (traffic.Endpoint, error) {
		if len(raw) == 0 {
			return traffic.Endpoint{}, errors.New("empty")
		}
		e := traffic.Endpoint{ID: id, Pool: string(raw)}
		if raw[0] == '-' {
			e.Pool, e.State = string(raw[1:]), traffic.EndpointDraining
		}
		return e, nil
	},
}

func newTestState() *State { return NewState(testCodec, nil) }

var testTime = time.Unix(1000, 0)

// TestStateNeverReverts guards against a delayed message or a malformed value replacing newer state.
func TestStateNeverReverts(t *testing.T) {
	s := newTestState()
	s.Apply(testTime, "table", 5, []byte("50"))
	s.Apply(testTime, "table", 4, []byte("40"))
	s.Apply(testTime, "table", 6, []byte("broken"))
	if v := s.View(testTime).Table.Version; v != 50 {
		t.Errorf("version %d, want 50", v)
	}
	s.Apply(testTime, "table", 7, []byte("70"))
	s.Apply(testTime, "table", 8, nil)
	if v := s.View(testTime).Table.Version; v != 70 {
		t.Errorf("version %d after a removal, want 70", v)
	}
	s.Apply(testTime, "e/1", 9, nil)
	s.Apply(testTime, "e/1", 8, []byte("pool"))
	if _, ok := s.View(testTime).Endpoints["1"]; ok {
		t.Error("a removed endpoint was restored by an older message")
	}
}

// TestStateListing guards against keeping endpoints that were removed between a watch and the next listing, and
// against removing one that registered after the listing.
func TestStateListing(t *testing.T) {
	s := newTestState()
	s.ApplyListing(testTime, 10, []platform.KeyValue{
		{Key: "table", ModRevision: 3, Value: []byte("1")}, {Key: "e/1", ModRevision: 4, Value: []byte("p")},
		{Key: "e/2", ModRevision: 5, Value: []byte("p")}, {Key: "other", ModRevision: 9},
	})
	if got := s.Revision(); got != 10 {
		t.Errorf("revision %d, want that of the listing", got)
	}
	s.Apply(testTime, "e/3", 22, []byte("p"))
	s.ApplyListing(testTime, 20, []platform.KeyValue{{Key: "table", ModRevision: 3, Value: []byte("1")}, {Key: "e/1", ModRevision: 15, Value: []byte("-p")}})
	v := s.View(testTime)
	if len(v.Endpoints) != 2 || len(v.ByPool["p"]) != 1 || v.ByPool["p"][0].ID != "3" {
		t.Errorf("endpoints %+v", v.Endpoints)
	}
	if got := s.Revision(); got != 20 {
		t.Errorf("revision %d after a removal, want 20", got)
	}
}

// TestStateGracePeriod guards against dropping all endpoints when their leases expire during an outage of the store,
// and against using an endpoint for longer than the drain bound after its removal.
func TestStateGracePeriod(t *testing.T) {
	for _, c := range []struct {
		desc   string
		outage bool
		state  string
		after  time.Duration
		want   bool
	}{
		{"removed without an outage", false, "p", 0, false},
		{"removed after an outage", true, "p", time.Second, true},
		{"after the grace period", true, "p", 1800 * time.Millisecond, false},
		{"draining before the removal", true, "-p", 0, false},
	} {
		s := newTestState()
		s.SetDrainBound(2 * time.Second)
		s.Apply(testTime, "e/1", 1, []byte(c.state))
		if c.outage {
			s.StoreRecovered(testTime)
		}
		s.ApplyListing(testTime, 5, nil)
		if _, got := s.View(testTime.Add(c.after)).Endpoints["1"]; got != c.want {
			t.Errorf("%s: known %v, want %v", c.desc, got, c.want)
		}
	}
	s := newTestState()
	s.Apply(testTime, "e/1", 1, []byte("p"))
	s.StoreRecovered(testTime)
	s.Apply(testTime, "e/1", 2, nil)
	s.Apply(testTime.Add(time.Second), "e/1", 3, []byte("p"))
	if _, ok := s.View(testTime.Add(time.Minute)).Endpoints["1"]; !ok {
		t.Error("an endpoint that registered again was dropped")
	}
}

// TestStateConverges guards against two daemons with different states after they have exchanged them, whichever
// changes each had received before.
func TestStateConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestState(), newTestState()
		changes := rapid.IntRange(1, 30).Draw(t, "changes")
		for revision := int64(1); revision <= int64(changes); revision++ {
			key := fmt.Sprintf("e/%d", rapid.IntRange(0, 4).Draw(t, "key"))
			var value []byte
			if rapid.Bool().Draw(t, "put") {
				value = []byte("p")
			}
			for _, s := range []*State{a, b} {
				if rapid.Bool().Draw(t, "seen") {
					s.Apply(testTime, key, revision, value)
				}
			}
			a.Advance(0)
		}
		for _, pair := range [][2]*State{{a, b}, {b, a}} {
			for _, e := range pair[0].Since(0, 0) {
				pair[1].Apply(testTime, e.Key, e.Revision, e.Value)
			}
		}
		va, vb := a.View(testTime), b.View(testTime)
		if len(va.Endpoints) != len(vb.Endpoints) {
			t.Fatalf("%v and %v", va.Endpoints, vb.Endpoints)
		}
	})
}

// TestChangesOfOneRevision guards against changes that are lost because another key has changed at the same revision, as in a
// transaction or when a lease ends.
func TestChangesOfOneRevision(t *testing.T) {
	s := newTestState()
	put := func(key string, revision int64) platform.Event {
		return platform.Event{KV: platform.KeyValue{Key: key, ModRevision: revision, Value: []byte("p")}}
	}
	remove := func(key string, revision int64) platform.Event {
		return platform.Event{KV: platform.KeyValue{Key: key, ModRevision: revision}, Deleted: true}
	}
	applyEvents(testTime, s, []platform.Event{put("e/1", 5), put("e/2", 5), put("e/3", 5), put("e/4", 6)})
	if n := len(s.View(testTime).Endpoints); n != 4 || s.Revision() != 6 {
		t.Errorf("%d endpoints at revision %d, want 4 at 6", n, s.Revision())
	}
	applyEvents(testTime, s, []platform.Event{remove("e/1", 7), remove("e/2", 7), put("e/5", 7)})
	if n := len(s.View(testTime).Endpoints); n != 3 || s.Revision() != 7 {
		t.Errorf("%d endpoints at revision %d, want 3 at 7", n, s.Revision())
	}
}
