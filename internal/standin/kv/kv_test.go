package kv

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/platform/contract"
)

// TestClientContract guards against an in-process client that behaves differently from the etcd adapter, so that
// tests in virtual time pass and the real system fails.
func TestClientContract(t *testing.T) {
	contract.TestKV(t, func(*testing.T) *contract.KVFixture {
		c := NewClient(NewStore())
		c.SetTimeout(100 * time.Millisecond)
		return &contract.KVFixture{
			KV:             c,
			DropReply:      func(n int) { c.InjectWriteFault(n, Fault{DropReply: true}) },
			DropRequest:    func(n int) { c.InjectWriteFault(n, Fault{DropRequest: true}) },
			SetDown:        c.SetDown,
			SetSilentWatch: c.SetSilentWatch,
			Writes:         func() int { return c.Counters().Txns },
			Compact:        func() { c.Store().Compact(c.Store().Revision()) },
		}
	})
}

// TestAdmin guards against faults requested over HTTP that are silently ignored.
func TestAdmin(t *testing.T) {
	s := NewServer(NewStore())
	server := httptest.NewServer(s)
	defer server.Close()
	for _, c := range []struct {
		desc   string
		body   string
		status int
		check  func() bool
	}{
		{"down", `{"down": true}`, 200, s.isDown},
		{"silent watch", `{"silent_watch": true}`, 200, s.isWatchSilent},
		{"write fault", `{"writes": {"2": {"drop": true}}}`, 200, func() bool { return s.writes[2].DropReply }},
		{"reset", `{"reset": true}`, 200, func() bool { return !s.isDown() && !s.isWatchSilent() && s.writes == nil }},
		{"unknown field", `{"slow": true}`, 400, func() bool { return true }},
	} {
		resp, err := http.Post(server.URL+PathFaults, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || !c.check() {
			t.Errorf("%s: status %d, want %d", c.desc, resp.StatusCode, c.status)
		}
	}
	resp, err := http.Get(server.URL + PathCounters)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var n Counters
	if err := json.NewDecoder(resp.Body).Decode(&n); err != nil {
		t.Error(err)
	}
}
