package configstore

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
)

// alice is the operator of most changes.
var alice = Actor{"alice", "10.0.0.9:1234"}

// daemon is a running store with its own connections to the service and to its peers.
type daemon struct {
	*Store
	kv        *kv.Client
	members   *clustertest.Members
	docs      *clustertest.Documents
	revisions []uint64
	stop      func()
}

func newDaemon(t *testing.T, store *kv.Store, id string, live ...string) *daemon {
	d := &daemon{kv: kv.NewClient(store), members: clustertest.NewMembers(id, live...), docs: clustertest.NewDocuments()}
	d.Store = New(Options{
		KV: d.kv, Members: d.members, Documents: d.docs, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Validate: func(c *config.Config) error {
			if len(c.Pools) > 1 {
				return errors.New("too many pools")
			}
			return nil
		},
	})
	d.Subscribe(func(s *config.Snapshot) { d.revisions = append(d.revisions, s.Revision) })
	d.stop = clustertest.Start(t.Context(), d.Run)
	t.Cleanup(func() {
		d.stop()
		time.Sleep(time.Hour) // Lets delayed writes finish before the synctest bubble ends.
	})
	return d
}

func testConfig() *config.Config {
	c := &config.Config{
		Preset: "day",
		Presets: []config.Preset{
			{Name: "day", Classes: []config.Class{{Name: "quick", Tier: 1}}},
			{Name: "peak", Classes: []config.Class{{Name: "quick", Tier: 2}}},
			{Name: "night", Classes: []config.Class{{Name: "quick", Tier: 3}}},
		},
		Pools: []config.Pool{{Name: "judges", Kind: config.KindEngine}},
	}
	for i := range 100 {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: fmt.Sprintf("w%02d", i), DefaultClass: "quick"})
	}
	return c
}

func wantOutcome(t *testing.T, desc string, r Result, want Outcome, revision uint64) {
	t.Helper()
	if r.Outcome != want || (want == Accepted && r.Revision != revision) || r.Attempt == "" {
		t.Errorf("%s: got %+v, want %s, revision %d", desc, r, want, revision)
	}
}

func wantActiveRevision(t *testing.T, desc string, d *daemon, revision uint64, preset string) {
	t.Helper()
	s := d.Snapshot()
	if s == nil {
		t.Errorf("%s: no snapshot, want revision %d", desc, revision)
	} else if s.Revision != revision || s.Config.Preset != preset || len(s.Config.Workspaces) != 100 {
		t.Errorf("%s: revision %d, preset %s, %d workspaces; want revision %d, preset %s",
			desc, s.Revision, s.Config.Preset, len(s.Config.Workspaces), revision, preset)
	}
}

// TestChanges guards against changes that are lost, accepted on a stale revision or not audited.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		d := newDaemon(t, store, "a", "a")
		ctx := t.Context()
		tooMany := testConfig()
		tooMany.Pools = append(tooMany.Pools, config.Pool{Name: "more"})
		peak := config.Preset{Name: "peak", Classes: []config.Class{{Name: "quick", Tier: 1}}}
		for _, c := range []struct {
			desc     string
			change   func() Result
			want     Outcome
			revision uint64
		}{
			{"first", func() Result { return d.Apply(ctx, alice, testConfig(), 0) }, Accepted, 1},
			{"stale base", func() Result { return d.Apply(ctx, alice, testConfig(), 0) }, Conflicting, 0},
			{"invalid", func() Result { return d.Apply(ctx, alice, tooMany, 1) }, Invalid, 0},
			{"switch", func() Result { return d.SwitchPreset(ctx, alice, "peak", 1) }, Accepted, 2},
			{"edit", func() Result { return d.ApplyPreset(ctx, alice, peak, 1) }, Accepted, 3},
			{"stale edit", func() Result { return d.ApplyPreset(ctx, alice, peak, 1) }, Conflicting, 0},
			{"switch to an edited preset", func() Result { return d.SwitchPreset(ctx, alice, "peak", 1) }, Conflicting, 0},
			{"switch to an unedited preset", func() Result { return d.SwitchPreset(ctx, alice, "night", 1) }, Accepted, 4},
			{"unknown preset", func() Result { return d.SwitchPreset(ctx, alice, "dusk", 1) }, Invalid, 0},
		} {
			wantOutcome(t, c.desc, c.change(), c.want, c.revision)
		}
		wantActiveRevision(t, "at the end", d, 4, "night")
		entries, err := d.Audit(ctx, 100)
		if err != nil || len(entries) != 9 {
			t.Fatalf("audit: %d entries, %v; want 9", len(entries), err)
		}
		e := entries[1]
		if e.Operator != "alice" || e.Address != alice.Address || e.FromPreset != "peak" || e.ToPreset != "night" ||
			e.FromRevision != 3 || e.ToRevision != 4 || e.Outcome != Accepted || len(e.Changes) != 1 {
			t.Errorf("audit entry %+v", e)
		}
		if history, err := d.History(ctx, 100); err != nil || len(history) != 4 {
			t.Errorf("history: %d entries, %v; want 4", len(history), err)
		}
	})
}

// TestAuditBound guards against an audit trail that grows without limit or loses recent entries.
func TestAuditBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, kv.NewStore(), "a", "a")
		for range maxAuditEntries + 10 {
			d.SwitchPreset(t.Context(), alice, "none", 1)
		}
		entries, err := d.Audit(t.Context(), 2*maxAuditEntries)
		if err != nil || len(entries) != maxAuditEntries || entries[0].Sequence != maxAuditEntries+10 {
			t.Errorf("%d entries, %v", len(entries), err)
		}
	})
}

// TestConcurrentSwitches guards against two concurrent preset switches that are both accepted, and against a
// conflict that does not report the active preset and the current version of the requested one.
func TestConcurrentSwitches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		a, b := newDaemon(t, store, "a", "a", "b"), newDaemon(t, store, "b", "a", "b")
		wantOutcome(t, "first", a.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		a.kv.InjectWriteFault(1, kv.Fault{RequestDelay: time.Second})
		loser := make(chan Result, 1)
		go func() { loser <- a.SwitchPreset(t.Context(), alice, "night", 1) }()
		time.Sleep(500 * time.Millisecond)
		wantOutcome(t, "winner", b.SwitchPreset(t.Context(), Actor{"bob", ""}, "peak", 1), Accepted, 2)
		r := <-loser
		wantOutcome(t, "loser", r, Conflicting, 0)
		if r.Conflict == nil || r.Conflict.ActivePreset != "peak" || r.Conflict.CurrentPreset.Name != "night" {
			t.Errorf("conflict %+v", r.Conflict)
		}
	})
}

// TestLostReply guards against a change whose reported outcome differs from the stored one when requests
// or replies of its write or of the fencing write are lost or delayed, also during an outage.
func TestLostReply(t *testing.T) {
	const tenMinutes = 10 * time.Minute
	for _, c := range []struct {
		desc string
		// faults are the faults of writes by number: 1 is the transaction of the change, 2 the next write,
		// which is the fencing write if the head is unchanged.
		faults map[int]kv.Fault
		outage time.Duration
		want   Outcome
		final  Outcome
	}{
		{"reply lost", map[int]kv.Fault{1: {DropReply: true}}, 0, Accepted, Accepted},
		{"request lost", map[int]kv.Fault{1: {DropRequest: true}}, 0, Rejected, Rejected},
		{"late", map[int]kv.Fault{1: {RequestDelay: 30 * time.Second}}, 0, Rejected, Rejected},
		{
			"late and fencing reply lost",
			map[int]kv.Fault{1: {RequestDelay: tenMinutes}, 2: {DropReply: true}},
			0, Rejected, Rejected,
		},
		{
			"late and fencing request lost",
			map[int]kv.Fault{1: {RequestDelay: tenMinutes}, 2: {DropRequest: true}},
			0, Rejected, Rejected,
		},
		{
			"late, before the late fencing write",
			map[int]kv.Fault{1: {RequestDelay: 3 * time.Second}, 2: {RequestDelay: tenMinutes}},
			0, Accepted, Accepted,
		},
		{"reply lost, then outage", map[int]kv.Fault{1: {DropReply: true}}, tenMinutes, Unknown, Accepted},
		{"request lost, then outage", map[int]kv.Fault{1: {DropRequest: true}}, tenMinutes, Unknown, Rejected},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, kv.NewStore(), "a", "a")
				wantOutcome(t, "first", d.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
				for n, f := range c.faults {
					d.kv.InjectWriteFault(n, f)
				}
				if c.outage > 0 {
					time.AfterFunc(time.Second, func() { d.kv.SetDown(true) })
					time.AfterFunc(c.outage, func() { d.kv.SetDown(false) })
				}
				r := d.SwitchPreset(t.Context(), alice, "peak", 1)
				wantOutcome(t, "switch", r, c.want, 2)
				if c.want == Unknown {
					wantOutcome(t, "during the outage", d.ApplyPreset(t.Context(), alice, config.Preset{}, 0), Rejected, 0)
				}
				time.Sleep(2 * tenMinutes)
				if got, err := d.Attempt(t.Context(), r.Attempt); err != nil || got.Outcome != c.final {
					t.Errorf("query: %+v, %v; want %s", got, err, c.final)
				}
				revision, preset := uint64(1), "day"
				if c.final == Accepted {
					revision, preset = 2, "peak"
				}
				wantActiveRevision(t, "at the end", d, revision, preset)
				if e, ok, err := d.findEntry(t.Context(), r.Attempt); !ok || e.Outcome != c.final {
					t.Errorf("last audit entry %+v, %v", e, err)
				}
			})
		})
	}
}
