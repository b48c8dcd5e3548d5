package explain

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/entry/entrytest"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/settings"
	"github.com/chivewind/chivewind/traffic"
)

const explainTable = `{"version":7,"routes":[
 {"name":"r","hostname":"h","prefix":"/r/","route_kind":"unsafe","service":"s","timeout_ms":200},
 {"name":"empty","hostname":"h","prefix":"/empty/","route_kind":"unsafe","service":"none","timeout_ms":200}],
 "services":[{"name":"s"},{"name":"none"}],"limits":{"max_body_bytes":10},"tenants":[{"name":"t","api_keys":["k"]}]}`

// TestExplain guards against request ends that cannot be explained from the logs. Each case provokes one reason
// and checks the explanation that is derived from the logged lines.
func TestExplain(t *testing.T) {
	for _, c := range []struct {
		desc  string
		path  string
		key   string
		body  string
		serve http.HandlerFunc
		down  bool
		setup func(*entry.Server)
		want  entry.Reason
	}{
		{desc: "served", path: "/r/", key: "k", want: entry.Served},
		{desc: "error response", path: "/r/", key: "k", serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}, want: entry.EndpointError},
		{desc: "refused", path: "/r/", key: "k", serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want: entry.EndpointRefused},
		{desc: "paused", path: "/r/", key: "k", serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Retry-After", "5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, setup: func(s *entry.Server) {
			// An earlier request makes the endpoint ask for a pause.
			r := httptest.NewRequest(http.MethodPost, "/r/", http.NoBody)
			r.Host = "h"
			r.Header.Set("Attempt-Id", "a0")
			r.Header.Set("Authorization", "Token k")
			s.ServeHTTP(httptest.NewRecorder(), r)
		}, want: entry.EndpointsPaused},
		{desc: "connection closed", path: "/r/", key: "k", serve: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: entry.EndpointFailed},
		{desc: "timeout", path: "/r/", key: "k", serve: func(_ http.ResponseWriter, r *http.Request) {
			// The server cancels the request's context only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, want: entry.RouteTimeout},
		{desc: "unreachable", path: "/r/", key: "k", down: true, want: entry.NoEndpointReached},
		{desc: "no endpoint", path: "/empty/", key: "k", want: entry.NoEndpoint},
		{desc: "no route", path: "/x/", key: "k", want: entry.NoRoute},
		{desc: "unknown key", path: "/r/", key: "x", want: entry.UnknownKey},
		{desc: "large body", path: "/r/", key: "k", body: strings.Repeat("x", 11), want: entry.BodyTooLarge},
		{desc: "stopping", path: "/r/", key: "k", setup: (*entry.Server).RefuseRequests, want: entry.ShuttingDown},
	} {
		t.Run(c.desc, func(t *testing.T) {
			logs := logsOfRequest(t, c.path, c.key, c.body, c.serve, c.down, c.setup)
			report, err := Find(logs, "a1")
			if err != nil || report.Cause != c.want.Explain() {
				t.Errorf("%q, %v, want %q; lines %+v", report.Cause, err, c.want.Explain(), report.Lines)
			}
		})
	}
}

// logsOfRequest sends one request with the ID a1 to a server with one endpoint and returns the server's log.
func logsOfRequest(t *testing.T, path, key, body string, serve http.HandlerFunc, down bool, setup func(*entry.Server)) io.Reader {
	t.Helper()
	if serve == nil {
		serve = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Stamp", "s")
		}
	}
	endpoint := httptest.NewServer(serve)
	address := endpoint.Listener.Addr().String()
	if down {
		endpoint.Close()
	} else {
		t.Cleanup(endpoint.Close)
	}
	table, err := managed.DecodeTable([]byte(explainTable))
	if err != nil {
		t.Fatal(err)
	}
	e := traffic.Endpoint{ID: "i-1", Pool: "s", Address: address, Zone: "z", Slots: 6}
	view := &fleet.View{Table: table, Endpoints: map[string]traffic.Endpoint{"i-1": e}, ByPool: map[string][]traffic.Endpoint{"s": {e}}}
	logs := &bytes.Buffer{}
	s := entry.New(entry.Options{
		Zone: "z", HeaderCodec: managed.HeaderCodec{}, Metrics: metrics.NewRegistry(),
		Bounds: settings.Bounds{RetryRatio: 0.2, RetryReserve: 5, RetryWindow: config.Duration(10 * time.Second)},
		Log:    hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: logs}).With("daemon", "d"),
	})
	s.SetFleet(&entrytest.Fleet{Current: view})
	s.SetView(view)
	if setup != nil {
		setup(s)
	}
	httpServer := httptest.NewServer(s)
	req, err := http.NewRequest(http.MethodPost, httpServer.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", "a1")
	req.Header.Set("Authorization", "Token "+key)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	} else if _, ok := err.(net.Error); !ok {
		t.Fatal(err)
	}
	// Close waits until the handler has returned and has logged the end of the request.
	httpServer.Close()
	s.Close()
	return logs
}

// TestFind guards against lines of several daemons that are not sorted by time, against lines of other requests,
// in particular of those whose ID begins with the same text, and against failing on text before the JSON object.
func TestFind(t *testing.T) {
	logs := `
  2.1 vm-2 {"@message":"request ended","@timestamp":"2026-01-01T00:00:02Z","daemon":"b","request":"a1","reason":"served"}
{"@message":"request ended","@timestamp":"2026-01-01T00:00:03Z","daemon":"b","request":"a12","reason":"overload"}
{"@message":"note","@timestamp":"2026-01-01T00:00:03Z","other":"a1"}
not json a1
{"@message":"attempt failed","@timestamp":"2026-01-01T00:00:01Z","daemon":"a","request":"a1","sends":2}`
	report, err := Find(strings.NewReader(logs), "a1")
	if err != nil || len(report.Lines) != 2 || report.Lines[0].Daemon != "a" || report.Cause != entry.Served.Explain() {
		t.Errorf("%+v, %v", report, err)
	}
	if report, _ := Find(strings.NewReader(logs), "zz"); len(report.Lines) != 0 || report.Cause == "" {
		t.Errorf("%+v", report)
	}
}
