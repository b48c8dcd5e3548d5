package configstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/kv"
)

// TestTroubleAuditEntryWrittenOnce guards against an audit entry that is written twice, because a daemon whose write
// was lost or late does not recognize the entry that it has written.
func TestTroubleAuditEntryWrittenOnce(t *testing.T) {
	for _, c := range []struct {
		desc string
		// faults are the faults of writes by number: 1 is the first try to write the entry.
		faults map[int]kv.Fault
		outage bool
	}{
		{"reply lost", map[int]kv.Fault{1: {DropReply: true}}, false},
		{"reply lost, then outage", map[int]kv.Fault{1: {DropReply: true}}, true},
		{"late, before the second try", map[int]kv.Fault{1: {RequestDelay: 3 * time.Second}, 2: {RequestDelay: 1500 * time.Millisecond}}, false},
		{"late, after the second try", map[int]kv.Fault{1: {RequestDelay: time.Minute}}, false},
		{"request lost", map[int]kv.Fault{1: {DropRequest: true}}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon(t, kv.NewStore(), "a", "a")
				wantOutcome(t, "first", d.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
				for n, f := range c.faults {
					d.kv.InjectWriteFault(n, f)
				}
				if c.outage {
					time.AfterFunc(time.Second, func() { d.kv.SetDown(true) })
					time.AfterFunc(time.Minute, func() { d.kv.SetDown(false) })
				}
				r := d.SwitchPreset(t.Context(), alice, "peak", 9)
				wantOutcome(t, "switch from a wrong revision", r, Conflicting, 0)
				time.Sleep(10 * time.Minute)
				entries, err := d.Audit(t.Context(), maxAuditEntries)
				if err != nil {
					t.Fatal(err)
				}
				written := 0
				for _, e := range entries {
					if e.Attempt == r.Attempt {
						written++
					}
				}
				if written != 1 {
					t.Errorf("the entry was written %d times, want once", written)
				}
			})
		})
	}
}

// TestLateCommit guards against a change that is committed after other daemons have concluded that it is no longer in
// progress.
func TestLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(t, kv.NewStore(), "a", "a")
		wantOutcome(t, "first", d.Apply(t.Context(), alice, testConfig(), 0), Accepted, 1)
		d.Validate = func(*config.Config) error {
			time.Sleep(maxChangeDuration)
			return nil
		}
		wantOutcome(t, "late", d.SwitchPreset(t.Context(), alice, "peak", 1), Rejected, 0)
		wantActiveRevision(t, "after the late change", d, 1, "day")
	})
}
