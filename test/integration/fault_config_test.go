package integration

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/faultproxy"
)

// adminClient returns a client for the daemon's administration API.
func (d *daemon) adminClient() *adminapi.Client { return &adminapi.Client{Base: "http://" + d.admin} }

// recordRevisions continuously records the active revision of each daemon until the test ends.
func (s *system) recordRevisions() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s.t.Cleanup(func() { cancel(); wg.Wait() })
	for _, d := range s.daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				call, done := context.WithTimeout(ctx, time.Second)
				var got adminapi.Config
				sentAt := time.Now()
				if d.adminClient().Get(call, "/admin/v1/config", &got) == nil {
					s.log.addRevision(d.id, sentAt, got.Revision)
				}
				done()
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
				}
			}
		})
	}
}

// switchPreset switches to a preset through a daemon, at the revision of the preset that the daemon returns.
func (s *system) switchPreset(d *daemon, name string) (adminapi.Change, error) {
	ctx := withTimeout(s.t, requestTimeout)
	var p config.Preset
	if err := d.adminClient().Get(ctx, "/admin/v1/presets/"+name, &p); err != nil {
		return adminapi.Change{}, err
	}
	var change adminapi.Change
	err := d.adminClient().Send(ctx, http.MethodPost, "/admin/v1/switch", adminapi.SwitchRequest{Preset: name, PresetRevision: p.Revision}, 0, &change)
	if err == nil {
		s.log.add(checker.Event{Kind: checker.ChangeAccepted, Revision: change.Revision})
	}
	return change, err
}

// TestFaultOperatorsRace guards against concurrent edits of the same version of a preset that are both reported as
// accepted.
func TestFaultOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1})
	for round := range 5 {
		var p config.Preset
		if err := s.daemons[0].adminClient().Get(withTimeout(t, requestTimeout), "/admin/v1/presets/peak", &p); err != nil {
			t.Fatal(err)
		}
		results := make([]error, 3)
		changes := make([]adminapi.Change, 3)
		var wg sync.WaitGroup
		for i, d := range s.daemons {
			wg.Go(func() {
				edited := p
				edited.Classes = append([]config.Class(nil), p.Classes...)
				edited.Classes[0].FirstToken = config.Duration(time.Duration(1000+100*round+i) * time.Millisecond)
				results[i] = d.adminClient().Send(withTimeout(t, requestTimeout), http.MethodPut, "/admin/v1/presets/peak", edited, p.Revision, &changes[i])
			})
		}
		wg.Wait()
		accepted := uint64(0)
		for i, err := range results {
			var apiErr *adminapi.Error
			switch {
			case err == nil && accepted == 0:
				accepted = changes[i].Revision
			case err == nil:
				t.Errorf("round %d: two edits of the same version were accepted: revisions %d and %d", round, accepted, changes[i].Revision)
			case !errors.As(err, &apiErr) || apiErr.Code != adminapi.CodeConflict || apiErr.CurrentPreset == nil || apiErr.ProposedPreset == nil:
				t.Errorf("round %d: want a conflict with both versions, got %#v", round, err)
			}
		}
		if accepted == 0 {
			t.Fatalf("round %d: no edit was accepted: %v", round, results)
		}
		s.waitRevision(accepted)
	}
	s.log.check()
}

// TestFaultLostReplyOfChange guards against a change that is reported as accepted or refused without evidence when
// the reply of the key-value service is lost.
func TestFaultLostReplyOfChange(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1})
	s.recordRevisions()
	for _, name := range []string{"peak", "ordinary", "peak"} {
		s.waitForNoWrites()
		// Only the reply of the next write is lost, so that the daemon can determine its outcome with a read.
		s.postJSON("http://"+s.kv.addr+"/admin/faults", map[string]any{"writes": map[int]any{1: map[string]any{"drop": true}}})
		change, err := s.switchPreset(s.daemons[1], name)
		if err != nil {
			t.Fatalf("switch to %s with one lost reply: %v; want the outcome determined by a read", name, err)
		}
		s.waitRevision(change.Revision)
		s.requirePreset(name)
	}
	// The write takes effect, but its reply and all subsequent reads are lost: the outcome is unknown until the
	// service is reachable again.
	s.waitForNoWrites()
	s.postJSON("http://"+s.kv.addr+"/admin/faults", map[string]any{"writes": map[int]any{1: map[string]any{"after_ns": requestTimeout}}})
	writes := s.kvTxnCount()
	result := make(chan error, 1)
	go func() {
		_, err := s.switchPreset(s.daemons[1], "ordinary")
		result <- err
	}()
	eventually(t, requestTimeout, "the write arrives", func() error {
		if s.kvTxnCount() == writes {
			return errors.New("no write")
		}
		return nil
	})
	s.daemons[1].kv.SetFault(faultproxy.Fault{Cut: true})
	err := <-result
	var apiErr *adminapi.Error
	if !errors.As(err, &apiErr) || apiErr.Code != adminapi.CodeUnknown || apiErr.AttemptID == "" {
		t.Fatalf("switch with lost reply and lost reads: %#v, want unknown with an attempt id", err)
	}
	s.daemons[1].kv.SetFault(faultproxy.Fault{})
	var attempt adminapi.Attempt
	eventually(t, requestTimeout, "settle the attempt", func() error {
		if err := s.daemons[1].adminClient().Get(withTimeout(t, requestTimeout), "/admin/v1/attempts/"+apiErr.AttemptID, &attempt); err != nil {
			return err
		}
		if attempt.Outcome == "unknown" {
			return errors.New("still unknown")
		}
		return nil
	})
	want := "peak"
	if attempt.Outcome == "accepted" {
		want = "ordinary"
		s.waitRevision(attempt.Revision)
	}
	s.requirePreset(want)
	s.log.check()
}

// kvTxnCount returns the number of transactions that the key-value service has received.
func (s *system) kvTxnCount() int {
	s.t.Helper()
	var count struct {
		Txns int `json:"txns"`
	}
	s.getJSON("http://"+s.kv.addr+"/admin/counters", &count)
	return count.Txns
}

// requirePreset checks the active preset on every daemon.
func (s *system) requirePreset(name string) {
	s.t.Helper()
	for _, d := range s.daemons {
		var list adminapi.PresetList
		if err := d.adminClient().Get(withTimeout(s.t, requestTimeout), "/admin/v1/presets", &list); err != nil {
			s.t.Fatal(err)
		}
		if list.Active != name {
			s.t.Errorf("%s has preset %q in force, want %q", d.id, list.Active, name)
		}
	}
}

// TestFaultNeverReverts guards against a daemon that reverts to an older configuration: after a pause of its process,
// after a restart in which it gets the configuration from its peers because the key-value service is down, and after
// the service has lost its state or is restored to an older one.
func TestFaultNeverReverts(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 3, engines: 1})
	s.recordRevisions()
	backup := s.readKV("config/")
	s.daemons[2].pause()
	var last adminapi.Change
	for i := range 4 {
		change, err := s.switchPreset(s.daemons[0], []string{"peak", "ordinary"}[i%2])
		if err != nil {
			t.Fatal(err)
		}
		last = change
	}
	sleep(7 * time.Second)
	s.daemons[2].resume()
	s.waitRevision(last.Revision)

	kvCut.begin(s)
	if _, err := s.switchPreset(s.daemons[0], "peak"); err == nil {
		t.Error("a switch was accepted while the key-value service was down")
	}
	s.daemons[1].kill()
	s.startDaemon(s.daemons[1])
	s.waitRevision(last.Revision)
	kvCut.clear(s)

	// The service loses its state: the active configuration must remain active.
	s.kv.kill()
	s.kv.process = startProcess(t, s.dir, "kv", "standin", "kv", "--listen", s.kv.addr)
	eventually(t, startTimeout, "kv listens", func() error {
		resp, err := http.Get("http://" + s.kv.addr + "/")
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
	sleep(2 * time.Second)
	s.waitRevision(last.Revision)
	// A backup of the first revision is restored: the daemons see it and must ignore it.
	s.writeKV(backup)
	sleep(4 * time.Second)
	s.waitRevision(last.Revision)
	older := 0
	for _, d := range s.daemons {
		older += d.metricValue(t, "chivewind_configstore_older_heads_total") + d.metricValue(t, "chivewind_replica_older_versions_total")
	}
	if older == 0 {
		t.Error("no daemon detected the restored older configuration; the test is inconclusive")
	}
	s.log.check()
}

// TestFaultConfigDuringOutage guards against edits that hang or are partially accepted during an outage of the
// key-value service.
func TestFaultConfigDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{daemons: 2, engines: 1})
	kvCut.begin(s)
	begin := time.Now()
	_, err := s.switchPreset(s.daemons[0], "peak")
	var apiErr *adminapi.Error
	if !errors.As(err, &apiErr) || apiErr.Code != adminapi.CodeUnavailable {
		t.Errorf("switch during an outage: %#v, want unavailable", err)
	}
	if took := time.Since(begin); took > maxConfigDelay {
		t.Errorf("the answer took %v, want less than %v", took, maxConfigDelay)
	}
	a := s.sendLogged(withTimeout(t, requestTimeout), s.daemons[0],
		chat{id: "r", prompt: "q", maxTokens: 5, workspace: "show"})
	if err := a.checkCompleted(); err != nil {
		t.Error(err)
	}
	b := s.book(withTimeout(t, requestTimeout), s.daemons[0], "k", "{}")
	if b.outcome == checker.Completed {
		t.Error("a booking ran without its record in the key-value service")
	}
	kvCut.clear(s)
	eventually(t, recoveryTimeout, "switch after the outage", func() error {
		_, err := s.switchPreset(s.daemons[0], "peak")
		return err
	})
	s.log.check()
}

// TestConfigSpreadTime measures the time until a change is active on every daemon.
func TestConfigSpreadTime(t *testing.T) {
	s := newSystem(t, options{daemons: 8, engines: 1})
	var worst time.Duration
	for i := range 6 {
		change, err := s.switchPreset(s.daemons[i], []string{"peak", "ordinary"}[i%2])
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		s.waitRevision(change.Revision)
		worst = max(worst, time.Since(begin))
	}
	t.Logf("6 changes, 8 daemons: in force everywhere after at most %v", worst)
}
