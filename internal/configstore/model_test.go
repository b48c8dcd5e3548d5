package configstore

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/internal/standin/kv"
)

// event is one step of a random scenario: a change, or a fault of the key-value service.
type event struct {
	// after is the delay since the previous event.
	after time.Duration
	kind  string
	// daemon is the index of the daemon that makes the change or whose connection fails.
	daemon int
	// preset is the preset that a change switches to or edits.
	preset string
	// nth selects the write that fails, 1 for the next one, or the new tier in an edit.
	nth int
	// length is how long a fault lasts, or the delay of a late write.
	length time.Duration
}

var eventGenerator = rapid.Custom(func(t *rapid.T) event {
	return event{
		after: time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
		kind: rapid.SampledFrom([]string{
			"switch", "switch", "switch", "edit", "lose reply", "lose request", "late write", "slow", "outage",
		}).Draw(t, "kind"),
		daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
		preset: rapid.SampledFrom([]string{"day", "peak", "night"}).Draw(t, "preset"),
		nth:    rapid.IntRange(1, 4).Draw(t, "nth"),
		length: time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * time.Second / 2,
	}
})

// reportedResult is a result as returned to the operator, with the daemon that returned it.
type reportedResult struct {
	Result
	daemon *daemon
}

// runScenario runs the events and returns all inconsistencies between the results returned to operators, the
// audit trail and the daemons' configurations.
func runScenario(t *testing.T, events []event) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewStore()
		daemons := startDaemons(t, store, "a", "b", "c")
		daemons[0].Apply(t.Context(), alice, testConfig(), 0)
		time.Sleep(time.Second)
		var mu sync.Mutex
		var results []reportedResult
		var running sync.WaitGroup
		for _, e := range events {
			time.Sleep(e.after)
			d := daemons[e.daemon]
			if e.kind != "switch" && e.kind != "edit" {
				injectFault(&running, daemons, e)
				continue
			}
			running.Go(func() {
				p, _ := d.Snapshot().Config.FindPreset(e.preset)
				var r Result
				if e.kind == "switch" {
					r = d.SwitchPreset(t.Context(), alice, p.Name, p.Revision)
				} else {
					p.Classes = slices.Clone(p.Classes)
					p.Classes[0].Tier = 1 + e.nth%3
					r = d.ApplyPreset(t.Context(), alice, p, p.Revision)
				}
				mu.Lock()
				defer mu.Unlock()
				results = append(results, reportedResult{r, d})
			})
		}
		running.Wait()
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		violations = findViolations(t, daemons, results)
	})
	return violations
}

// injectFault makes the service or one daemon's connection to it fail as the event describes.
func injectFault(running *sync.WaitGroup, daemons []*daemon, e event) {
	d := daemons[e.daemon]
	if fault, ok := kv.WriteFault(e.kind, e.length); ok {
		d.kv.InjectWriteFault(e.nth, fault)
		return
	}
	switch e.kind {
	case "slow", "outage":
		set := func(on bool) {
			if e.kind == "outage" {
				for _, each := range daemons {
					each.kv.SetHang(on)
				}
			} else if on {
				d.kv.SetDelay(e.length / 10)
			} else {
				d.kv.SetDelay(0)
			}
		}
		set(true)
		running.Go(func() {
			time.Sleep(e.length)
			set(false)
		})
	}
}

// findViolations compares the returned results with the audit trail, and the revision of each daemon with the number
// of accepted changes.
func findViolations(t *testing.T, daemons []*daemon, results []reportedResult) (violations []string) {
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	history, err := daemons[0].History(t.Context(), maxAuditEntries)
	if err != nil {
		addViolation("history: %v", err)
	}
	acceptedRevisions := map[string]uint64{}
	for i, e := range history {
		acceptedRevisions[e.Attempt] = e.ToRevision
		if want := uint64(len(history) - i); e.ToRevision != want {
			addViolation("revision %d in place of %d in the history", e.ToRevision, want)
		}
	}
	for _, r := range results {
		final, err := r.daemon.Attempt(t.Context(), r.Attempt)
		_, accepted := acceptedRevisions[r.Attempt]
		switch {
		case err != nil || final.Outcome == Unknown:
			addViolation("%+v is not resolved: %+v, %v", r.Result, final, err)
		case r.Outcome != Unknown && r.Outcome != final.Outcome:
			addViolation("%+v became %+v", r.Result, final)
		case accepted != (final.Outcome == Accepted):
			addViolation("final result %+v, but accepted in the history: %v", final, accepted)
		}
	}
	for _, d := range daemons {
		if got := d.Snapshot().Revision; got != uint64(len(history)) {
			addViolation("revision %d in force, want %d", got, len(history))
		}
		if !slices.IsSorted(d.revisions) {
			addViolation("revisions went down: %v", d.revisions)
		}
	}
	return violations
}

// TestModel guards against a result that differs from the stored outcome, and against a revision that is
// skipped or does not reach a daemon. It makes random changes on three daemons with lost replies, late
// writes and outages. rapid prints the seed of a failure.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(eventGenerator, 1, 30).Draw(rt, "events")
		if violations := runScenario(t, events); len(violations) > 0 {
			rt.Fatalf("violations: %v", violations)
		}
	})
}
