package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/internal/checker"
)

// requestTimeout exceeds the time that any request of these tests needs.
const requestTimeout = 20 * time.Second

// TestWholePath guards against components that work in isolation but not together: separate processes must serve a
// streamed chat completion and a booking, and a preset switch must reach every daemon.
func TestWholePath(t *testing.T) {
	s := newSystem(t, options{daemons: 3, engines: 2, plains: 1})
	d := s.entryDaemon()
	a := s.sendLogged(withTimeout(t, requestTimeout), d, chat{id: "r1", prompt: "When do I repot a juniper?", maxTokens: 40, workspace: "show"})
	if a.outcome != checker.Completed || a.cut {
		t.Errorf("chat: status %d, outcome %q, cut %v, error %v", a.status, a.outcome, a.cut, a.err)
	}
	b := s.book(withTimeout(t, requestTimeout), d, "booking-1", `{"tree":"juniper"}`)
	if b.outcome != checker.Completed || s.plainRuns("booking-1") != 1 {
		t.Errorf("booking: status %d, outcome %q, %d runs: %s", b.status, b.outcome, s.plainRuns("booking-1"), b.text)
	}
	var change adminapi.Change
	if err := s.runCLI(s.daemons[1], &change, "preset", "switch", "peak"); err != nil {
		t.Fatal(err)
	}
	s.waitRevision(change.Revision)
	var status adminapi.Status
	if err := s.runCLI(s.daemons[2], &status, "status"); err != nil {
		t.Fatal(err)
	}
	if len(status.Daemons) != 3 {
		t.Errorf("status shows %d daemons, want 3", len(status.Daemons))
	}
	for _, d := range status.Daemons {
		if d.Preset != "peak" || d.Revision != change.Revision {
			t.Errorf("daemon %s: preset %q at revision %d, want peak at %d", d.ID, d.Preset, d.Revision, change.Revision)
		}
	}
	s.log.check()
}

// entryDaemon returns the daemon at the first entry address that the first daemon returns.
func (s *system) entryDaemon() *daemon {
	s.t.Helper()
	for _, address := range s.entryAddresses(s.daemons[0]) {
		for _, d := range s.daemons {
			if address == "http://"+d.callers {
				return d
			}
		}
	}
	s.t.Fatal("no entry address is a daemon's")
	return nil
}

// entryAddresses returns the entry addresses that a daemon returns to callers.
func (s *system) entryAddresses(d *daemon) []string {
	s.t.Helper()
	var entry struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
	}
	resp, err := http.Get("http://" + d.callers + "/v1/entry")
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	s.getJSON("http://"+d.callers+"/v1/entry", &entry)
	var urls []string
	for _, a := range entry.Addresses {
		urls = append(urls, a.URL)
	}
	return urls
}
