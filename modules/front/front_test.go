package front_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/modules/front"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/settings"
)

// fakeDispatcher responds with 200 and records the last request.
type fakeDispatcher struct {
	last *dispatch.Request
	// started is closed when a request arrives, if block is set.
	started chan struct{}
	// block, if set, delays the response until it is closed.
	block chan struct{}
}

func (d *fakeDispatcher) Do(_ context.Context, r *dispatch.Request, out dispatch.ResponseWriter) dispatch.Result {
	d.last = r
	if d.block != nil {
		close(d.started)
		<-d.block
	}
	if err := out.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, dispatch.Completed); err != nil {
		return dispatch.Result{Outcome: dispatch.Failed}
	}
	_, _ = out.Write([]byte("ok"))
	return dispatch.Result{Outcome: dispatch.Completed}
}

// fakeMembers is a fixed membership view.
type fakeMembers struct {
	cluster.Members
	self      *peer.Member
	live      []*peer.Member
	viewStale bool
}

func (m *fakeMembers) Self() *peer.Member   { return m.self }
func (m *fakeMembers) Live() []*peer.Member { return m.live }
func (m *fakeMembers) ViewFresh() bool      { return !m.viewStale }

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func snapshot(t *testing.T, keys bool) *config.Snapshot {
	t.Helper()
	c := &config.Config{
		Preset: "day",
		Presets: []config.Preset{{Name: "day", Classes: []config.Class{
			{Name: "quick", Tier: 1, Total: config.Duration(time.Second)}, {Name: "night", Tier: 3, Total: config.Duration(time.Hour), Late: config.LateServe},
		}}},
		Pools:  []config.Pool{{Name: "judging", Kind: config.KindEngine, Model: "bonsai"}, {Name: "fees", Kind: config.KindPlain}},
		Routes: []config.Route{{Path: "/services/fees/", Pool: "fees", Class: "night"}},
		Workspaces: []config.Workspace{
			{Name: "registry", DefaultClass: "quick", Classes: []string{"quick"}}, {Name: "club", DefaultClass: "night"},
		},
	}
	if keys {
		c.Workspaces[0].KeyHashes = []string{hash("old key"), hash("key")}
	}
	s, err := config.NewSnapshot(1, c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const chatBody = `{"model":"bonsai","messages":[{"role":"user","content":"hi"}],"max_tokens":7}`

// Guards against requests that run without valid authorization or under the wrong class.
func TestAdmission(t *testing.T) {
	cases := []struct {
		desc   string
		keys   bool
		method string
		path   string
		header http.Header
		body   string
		status int
		class  string
	}{
		{desc: "key", keys: true, path: "/v1/chat/completions", header: http.Header{"Authorization": {"Bearer key"}}, body: chatBody, status: 200, class: "quick"},
		{desc: "second key", keys: true, path: "/v1/chat/completions", header: http.Header{"Authorization": {"bearer old key"}}, body: chatBody, status: 200, class: "quick"},
		{desc: "no key", keys: true, path: "/v1/chat/completions", body: chatBody, status: 401},
		{desc: "wrong key", keys: true, path: "/v1/chat/completions", header: http.Header{"Authorization": {"Bearer keys"}}, body: chatBody, status: 401},
		{desc: "workspace header with keys configured", keys: true, path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"registry"}}, body: chatBody, status: 401},
		{desc: "workspace header without keys", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}}, body: chatBody, status: 200, class: "night"},
		{desc: "no workspace", path: "/v1/chat/completions", body: chatBody, status: 401},
		{desc: "own class", path: "/v1/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}, "X-Chivewind-Class": {"quick"}}, body: `{"model":"bonsai","prompt":"hi"}`, status: 200, class: "quick"},
		{desc: "forbidden class", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"registry"}, "X-Chivewind-Class": {"night"}}, body: chatBody, status: 403},
		{desc: "unknown class", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}, "X-Chivewind-Class": {"day"}}, body: chatBody, status: 400},
		{desc: "unknown model", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}}, body: `{"model":"oak"}`, status: 404},
		{desc: "adapter", path: "/v1/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}}, body: `{"model":"bonsai:kokufu","prompt":"hi"}`, status: 200, class: "night"},
		{desc: "malformed body", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}}, body: `{"model":`, status: 400},
		{desc: "body too large", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}}, body: strings.Repeat(" ", 2000), status: 413},
		{desc: "bad timeout", path: "/v1/chat/completions", header: http.Header{"X-Chivewind-Workspace": {"club"}, "X-Chivewind-Timeout": {"soon"}}, body: chatBody, status: 400},
		{desc: "plain route's class", path: "/services/fees/7", header: http.Header{"X-Chivewind-Workspace": {"club"}}, status: 200, class: "night"},
		{desc: "no route", path: "/services/other", header: http.Header{"X-Chivewind-Workspace": {"club"}}, status: 404},
		{desc: "path to another route", path: "/services/fees/../bookings/7", header: http.Header{"X-Chivewind-Workspace": {"club"}}, status: 400},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := snapshot(t, c.keys)
			d := &fakeDispatcher{}
			f := front.New(front.Options{
				Dispatcher: d, Snapshot: func() *config.Snapshot { return s }, Limits: settings.Limits{MaxBody: 1000},
			})
			req := httptest.NewRequest(http.MethodPost, "http://daemon", strings.NewReader(c.body))
			req.URL.Path = c.path
			for name, values := range c.header {
				req.Header[name] = values
			}
			w := httptest.NewRecorder()
			f.Handler().ServeHTTP(w, req)
			if w.Code != c.status {
				t.Fatalf("status %d, body %s", w.Code, w.Body)
			}
			if w.Header().Get(front.HeaderRequestID) == "" || w.Header().Get(front.HeaderOutcome) == "" {
				t.Errorf("headers %v", w.Header())
			}
			if c.status == 200 && d.last.Class.Name != c.class {
				t.Errorf("class %q, want %q", d.last.Class.Name, c.class)
			}
			if c.status != 200 && (d.last != nil || w.Header().Get(front.HeaderOutcome) != "not_run" || !json.Valid(w.Body.Bytes())) {
				t.Errorf("refused request: dispatched %v, outcome %q, body %s", d.last != nil, w.Header().Get(front.HeaderOutcome), w.Body)
			}
		})
	}
}

// Guards against entry responses that list a suspected daemon, that do not prefer the daemon's own zone or
// that are based on a stale membership view, and against a daemon that keeps client connections open while it
// is leaving.
func TestEntry(t *testing.T) {
	member := func(id, zone string, state peer.MemberState) *peer.Member {
		return &peer.Member{Id: id, Zone: zone, State: state, EntryUrl: "http://" + id}
	}
	alive := peer.MemberState_MEMBER_STATE_ALIVE
	m := &fakeMembers{self: member("d1", "sapporo", alive), live: []*peer.Member{
		member("d1", "sapporo", alive), member("d2", "asahikawa", alive), member("d3", "sapporo", alive),
		member("d4", "hakodate", peer.MemberState_MEMBER_STATE_SUSPECT),
	}}
	f := front.New(front.Options{Dispatcher: &fakeDispatcher{}, Snapshot: func() *config.Snapshot { return nil }, Members: m, Zone: "sapporo"})
	get := func() (int, front.EntryResponse, string) {
		w := httptest.NewRecorder()
		f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/entry", nil))
		var entry front.EntryResponse
		if err := json.Unmarshal(w.Body.Bytes(), &entry); err != nil {
			t.Fatal(err)
		}
		return w.Code, entry, w.Header().Get("Connection")
	}
	status, entry, _ := get()
	if status != 200 || len(entry.Addresses) != 3 ||
		entry.Addresses[0].Zone != "sapporo" || entry.Addresses[1].Zone != "sapporo" ||
		entry.Addresses[2].URL != "http://d2" || entry.Addresses[0].Weight <= entry.Addresses[2].Weight ||
		entry.ValidForMS != 10000 {
		t.Errorf("status %d, response %+v", status, entry)
	}
	m.self.State = peer.MemberState_MEMBER_STATE_LEAVING
	m.live = m.live[1:]
	status, entry, connection := get()
	for _, address := range entry.Addresses {
		if status != 200 || address.URL == "http://d1" || connection != "close" {
			t.Errorf("while leaving: status %d, address %+v, connection %q", status, address, connection)
		}
	}
	m.viewStale = true
	if status, _, _ := get(); status != http.StatusServiceUnavailable {
		t.Errorf("while the view is not fresh: status %d", status)
	}
}

// deadlineRecorder records the write deadline of its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// Guards against a request that fails because the write deadline of an earlier request on the same
// connection is still set, and against a response without a write deadline.
func TestWriteDeadline(t *testing.T) {
	s := snapshot(t, false)
	f := front.New(front.Options{Dispatcher: &fakeDispatcher{}, Snapshot: func() *config.Snapshot { return s }})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), deadline: time.Now()}
	f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/entry", nil))
	if !w.deadline.IsZero() {
		t.Errorf("entry response with the write deadline %v of an earlier request", w.deadline)
	}
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody))
	req.Header.Set("X-Chivewind-Workspace", "club")
	f.Handler().ServeHTTP(w, req)
	if left := time.Until(w.deadline); left < time.Second || left > front.DefaultWriteStallTimeout {
		t.Errorf("response with %v left until its write deadline", left)
	}
}

// Guards against a graceful shutdown that interrupts a running request.
func TestDrain(t *testing.T) {
	s := snapshot(t, true)
	d := &fakeDispatcher{started: make(chan struct{}), block: make(chan struct{})}
	f := front.New(front.Options{Dispatcher: d, Snapshot: func() *config.Snapshot { return s }})
	if err := f.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	served := make(chan int)
	body, recorder := bytes.NewBufferString(chatBody), httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer key")
	go func() {
		f.Handler().ServeHTTP(recorder, req)
		served <- recorder.Code
	}()
	<-d.started
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if f.Drain(ctx) == nil {
		t.Error("Drain did not wait for the running request")
	}
	drained := make(chan error)
	go func() { drained <- f.Drain(context.Background()) }()
	close(d.block)
	if code := <-served; code != 200 {
		t.Errorf("status %d", code)
	}
	if err := <-drained; err != nil || f.InFlight() != 0 {
		t.Errorf("drain: %v, %d in flight", err, f.InFlight())
	}
}
