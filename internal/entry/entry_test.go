package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/entry/entrytest"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/settings"
	"github.com/chivewind/chivewind/traffic"
)

// endpoint is a stand-in of an endpoint. It counts the attempts that reached it.
type endpoint struct {
	id      string
	address string

	mu   sync.Mutex
	seen []*http.Request
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.seen...)
}

// startEndpoint runs an endpoint whose answers a function writes to the connection; n counts its requests.
func startEndpoint(t *testing.T, id string, serve func(n int, w net.Conn, r *http.Request)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{id: id, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.handle(c, serve)
		}
	}()
	return e
}

func (e *endpoint) handle(c net.Conn, serve func(n int, w net.Conn, r *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.mu.Lock()
		e.seen = append(e.seen, r)
		n := len(e.seen)
		e.mu.Unlock()
		serve(n, c, r)
	}
}

// ok answers with a body and a stamp.
func ok(w net.Conn, r *http.Request, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Attempt-Id"), r.Header.Get("Expect-Instance"), len(body), body)
}

// notRun refuses a request.
func notRun(w net.Conn, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
}

// events streams events with ids from first to last; complete ends the stream properly.
func events(w net.Conn, r *http.Request, first, last int, complete bool) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Attempt-Id"), r.Header.Get("Expect-Instance"))
	for id := first; id <= last; id++ {
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		fmt.Fprint(w, "0\r\n\r\n")
		return
	}
	fmt.Fprint(w, "7\r\nid: 9\nd") // The run breaks in the middle of an event.
	_ = w.Close()
}

const testTable = `{"version":1,"routes":[
 {"name":"once","hostname":"h","prefix":"/once/","route_kind":"unsafe","service":"s","max_attempts":3,"timeout_ms":%d},
 {"name":"safe","hostname":"h","prefix":"/safe/","route_kind":"safe","service":"s","max_attempts":2,"timeout_ms":%d},
 {"name":"stream","hostname":"h","prefix":"/stream/","route_kind":"streaming","service":"s","max_attempts":2,"timeout_ms":%d},
 {"name":"resume","hostname":"h","prefix":"/resume/","route_kind":"streaming","resumable":true,"service":"s","max_attempts":2,"timeout_ms":%d},
 {"name":"model","hostname":"h","prefix":"/model/","route_kind":"streaming","service":"m","max_attempts":1,"timeout_ms":%d,"slo_ms":5000}],
 "services":[{"name":"s"},{"name":"m","engine":{"slots":64,"kv_capacity":100000}}],"limits":{"max_body_bytes":1000},
 "tenants":[{"name":"t1","api_keys":["k1"]}]}`

// system is a Server in front of endpoints.
type system struct {
	*entry.Server
	fleet *entrytest.Fleet
	front *httptest.Server
}

func startSystem(t *testing.T, timeoutMs int, endpoints ...*endpoint) *system {
	t.Helper()
	table, err := managed.DecodeTable([]byte(fmt.Sprintf(testTable, timeoutMs, timeoutMs, timeoutMs, timeoutMs, timeoutMs)))
	if err != nil {
		t.Fatal(err)
	}
	view := &fleet.View{Table: table, Endpoints: map[string]traffic.Endpoint{}, ByPool: map[string][]traffic.Endpoint{}}
	for _, e := range endpoints {
		for _, pool := range []string{"s", "m"} {
			info := traffic.Endpoint{ID: pool + e.id, Pool: pool, Address: e.address, Zone: "z", Slots: 6}
			view.Endpoints[info.ID] = info
			view.ByPool[pool] = append(view.ByPool[pool], info)
		}
	}
	s := &system{fleet: &entrytest.Fleet{Current: view}}
	s.Server = entry.New(entry.Options{
		Zone: "z", Wire: managed.Wire{}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Bounds: settings.Bounds{RetryRatio: 0.2, RetryReserve: 5, RetryWindow: config.Duration(10 * time.Second)},
	})
	s.SetFleet(s.fleet)
	s.SetView(view)
	s.front = httptest.NewServer(s.Server)
	t.Cleanup(func() {
		s.front.CloseClientConnections()
		s.front.Close()
		s.Close()
	})
	return s
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	header http.Header
	// cut says that the connection ended before the answer.
	cut bool
}

func (s *system) call(t *testing.T, path string, header ...string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", "a1")
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("Deadline-Ms", "10000")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return reply{cut: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), header: resp.Header, cut: err != nil}
}

const calm = 8000 // ms, a route timeout that a test does not reach

func total(endpoints ...*endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.requests())
	}
	return n
}

// TestSends guards against requests that run more often than their route allows, and against answers that
// promise what is not true: a 503 says that nothing ran.
func TestSends(t *testing.T) {
	reset := func(w net.Conn, _ *http.Request) {
		_ = w.(*net.TCPConn).SetLinger(0)
		_ = w.Close()
	}
	// first is true until the first request of the row that needs it.
	var first atomic.Bool
	first.Store(true)
	for _, c := range []struct {
		desc   string
		path   string
		serve  func(n int, w net.Conn, r *http.Request)
		sends  int
		status int
	}{
		{"served", "/once/1", func(_ int, w net.Conn, r *http.Request) { ok(w, r, 200, "x") }, 1, 200},
		{"lost answer, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 1, 502},
		{"lost answer, repeatable", "/safe/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 2, 502},
		{"refused, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { notRun(w, r) }, 3, 503},
		{"refused, one other attempt", "/safe/1", func(_ int, w net.Conn, r *http.Request) { notRun(w, r) }, 2, 503},
		{"own error, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { ok(w, r, 500, "x") }, 1, 500},
		{"own error, repeatable", "/safe/1", func(_ int, w net.Conn, r *http.Request) { ok(w, r, 500, "x") }, 2, 500},
		{"stream not resumable", "/stream/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 1, 502},
		{"lost answer, then refused", "/safe/1", func(_ int, w net.Conn, r *http.Request) {
			if first.CompareAndSwap(true, false) {
				reset(w, r)
				return
			}
			notRun(w, r)
		}, 2, 502},
		{"success without a stamp", "/once/1", func(_ int, w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 1\r\n\r\nx", r.Header.Get("Attempt-Id"))
		}, 1, 502},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var all []*endpoint
			for i := range 4 {
				all = append(all, startEndpoint(t, strconv.Itoa(i), c.serve))
			}
			got := startSystem(t, calm, all...).call(t, c.path)
			if got.status != c.status || total(all...) != c.sends {
				t.Errorf("status %d after %d sends, want %d after %d", got.status, total(all...), c.status, c.sends)
			}
			if own := c.status == 502 || c.status == 503; own && got.header.Get("Server-Stamp") != "" {
				t.Error("an answer of the daemon's own bears an endpoint's stamp")
			}
			if c.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}

// TestRequestIsUnchanged guards against a request that reaches an endpoint changed, or with the key.
func TestRequestIsUnchanged(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { ok(w, r, 200, "x") })
	startSystem(t, calm, e).call(t, "/once/%2Fa//b/../c?x=1&x=%20&&y", "X-Other", "kept", "Tenant", "forged")
	r := e.requests()[0]
	body, _ := io.ReadAll(r.Body)
	if r.RequestURI != "/once/%2Fa//b/../c?x=1&x=%20&&y" || string(body) != "body" || r.Host != "h" || r.Method != http.MethodPost {
		t.Errorf("%s %s %s %q", r.Method, r.Host, r.RequestURI, body)
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "t1" || r.Header.Get("X-Other") != "kept" || r.Header.Get("Expect-Instance") != "s1" {
		t.Errorf("%v", r.Header)
	}
	if left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")); left <= 0 || left > calm {
		t.Errorf("%d ms left, want at most the route's %d", left, calm)
	}
}

// TestRefusals guards against refusals that a newer configuration might not give, and against a daemon
// without a configuration that says that a route does not exist.
func TestRefusals(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { ok(w, r, 200, "x") })
	for _, c := range []struct {
		desc   string
		path   string
		key    string
		change func(*system)
		want   int
	}{
		{"no route", "/none/", "k1", func(*system) {}, 404},
		{"unknown key", "/once/", "k9", func(*system) {}, 401},
		{"no route by an old table", "/none/", "k1", func(s *system) { s.fleet.Age = time.Minute }, 503},
		{"unknown key by an old table", "/once/", "k9", func(s *system) { s.fleet.Age = time.Minute }, 503},
		{"no table", "/once/", "k1", func(s *system) { s.fleet.Current = &fleet.View{} }, 503},
		{"stopping", "/once/", "k1", func(s *system) { s.Refuse() }, 503},
		{"no endpoint", "/once/", "k1", func(s *system) { s.SetView(&fleet.View{Table: s.fleet.Current.Table}) }, 503},
	} {
		s := startSystem(t, calm, e)
		c.change(s)
		if got := s.call(t, c.path, "Authorization", "Token "+c.key); got.status != c.want {
			t.Errorf("%s: %d, want %d", c.desc, got.status, c.want)
		}
	}
	if total(e) != 0 {
		t.Errorf("%d refused requests reached the endpoint", total(e))
	}
}

// TestBrokenStream guards against a stream that breaks off and looks complete, and against a resumed one
// with missing, repeated or torn events.
func TestBrokenStream(t *testing.T) {
	whole := func(first, last int) string {
		var b strings.Builder
		for id := first; id <= last; id++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
		}
		return b.String()
	}
	serve := func(_ int, w net.Conn, r *http.Request) {
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			n, _ := strconv.Atoi(last)
			events(w, r, n+1, 6, true)
			return
		}
		events(w, r, 1, 3, false)
	}
	a, b := startEndpoint(t, "1", serve), startEndpoint(t, "2", serve)
	s := startSystem(t, calm, a, b)
	if got := s.call(t, "/stream/1"); !got.cut || got.body != whole(1, 3) {
		t.Errorf("not resumable: cut %v, %q", got.cut, got.body)
	}
	if n := total(a, b); n != 1 {
		t.Errorf("%d sends of a stream that may not be resumed", n)
	}
	got := s.call(t, "/resume/1")
	if got.cut || got.body != whole(1, 6) {
		t.Errorf("resumable: cut %v, %q", got.cut, got.body)
	}
	if n := total(a, b); n != 3 {
		t.Errorf("%d sends, want one more and its continuation", n-1)
	}
}

// TestTimeout guards against a caller that is held beyond its route's timeout without a final answer.
func TestTimeout(t *testing.T) {
	for _, c := range []struct {
		path   string
		serve  func(n int, w net.Conn, r *http.Request)
		status int
		cut    bool
	}{
		{"/once/1", func(_ int, w net.Conn, _ *http.Request) {
			_, _ = w.Read(make([]byte, 1))
		}, 504, false},
		{"/stream/1", func(_ int, w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nd\n\n\r\n", r.Header.Get("Attempt-Id"))
			_, _ = w.Read(make([]byte, 1))
		}, 200, true},
	} {
		s := startSystem(t, 300, startEndpoint(t, "1", c.serve))
		if got := s.call(t, c.path); got.status != c.status || got.cut != c.cut {
			t.Errorf("%s: status %d, cut %v; want %d, %v", c.path, got.status, got.cut, c.status, c.cut)
		}
	}
}

// TestCrashingRequest guards against a request that crashes one endpoint after the other when its caller
// sends it again.
func TestCrashingRequest(t *testing.T) {
	var all []*endpoint
	for i := range 6 {
		all = append(all, startEndpoint(t, strconv.Itoa(i), func(_ int, w net.Conn, _ *http.Request) { _ = w.Close() }))
	}
	s := startSystem(t, calm, all...)
	for range 6 {
		s.call(t, "/once/1")
	}
	if n := total(all...); n > 3 {
		t.Errorf("a request that crashes endpoints reached %d of them", n)
	}
}

// TestSilentScheduler guards against requests that wait for a scheduler that is gone.
func TestSilentScheduler(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { events(w, r, 1, 2, true) })
	s := startSystem(t, calm, e)
	s.fleet.Members = []*fleet.Member{{Identity: &peer.Identity{Daemon: "gone"}}}
	asked := 0
	s.fleet.OnSend = func(d *peer.Datagram) {
		if d.GetPlace() != nil {
			asked++
		}
	}
	for range 3 {
		if got := s.call(t, "/model/1", "Token-Usage", "10,10", "Prefix-Hash", "a:5,b:5"); got.status != 200 {
			t.Errorf("status %d without a scheduler", got.status)
		}
	}
	if asked == 0 || asked > 2 {
		t.Errorf("a silent scheduler was asked %d times in a row", asked)
	}
}

// schedule makes another system the scheduler. Each question arrives twice.
func (s *system) schedule(host *system, replied func(*peer.PlaceReply)) {
	host.fleet.OnSend = func(d *peer.Datagram) {
		replied(d.GetPlaced())
		s.HandleDatagram(d, netip.AddrPort{})
	}
	s.fleet.Members = []*fleet.Member{{Identity: &peer.Identity{Daemon: "host"}, Incarnation: 1}}
	s.fleet.OnSend = func(d *peer.Datagram) {
		host.HandleDatagram(d, netip.AddrPort{})
		if d.GetPlace() != nil {
			host.HandleDatagram(d, netip.AddrPort{})
		}
	}
}

// TestWaitForParts guards against a request that reaches an engine while it still reads the same shared parts
// for another one, against one that waits on when they are read, and against load that stays behind when a
// waiting caller leaves.
func TestWaitForParts(t *testing.T) {
	for _, c := range []struct {
		desc              string
		scheduler, leaves bool
	}{
		{"placed here", false, false}, {"placed by a scheduler", true, false},
		{"placed here, the caller leaves", false, true}, {"placed by a scheduler, the caller leaves", true, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			release := make(chan struct{})
			e := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
				if n == 1 {
					<-release
				}
				events(w, r, 1, 2, true)
			})
			s, host := startSystem(t, calm, e), startSystem(t, calm, e)
			if c.scheduler {
				s.schedule(host, func(*peer.PlaceReply) {})
			}
			statuses := make(chan int, 2)
			go func() {
				statuses <- s.call(t, "/model/1", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,b:10").status
			}()
			waitFor(t, func() bool { return total(e) == 1 })
			go func() {
				patience := "10000"
				if c.leaves {
					patience = "300"
				}
				statuses <- s.call(t, "/model/2", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,c:10", "Deadline-Ms", patience).status
			}()
			if c.leaves {
				if got := <-statuses; got != http.StatusServiceUnavailable {
					t.Errorf("status %d for a request that waited until its deadline, want 503", got)
				}
			} else {
				time.Sleep(4 * placement.HoldInterval)
			}
			if n := total(e); n != 1 {
				t.Errorf("%d requests reached the engine while it read the parts", n)
			}
			close(release)
			want := 2
			if c.leaves {
				want = 1
			}
			for range want {
				if got := <-statuses; got != http.StatusOK {
					t.Errorf("status %d", got)
				}
			}
			if n := total(e); n != want {
				t.Errorf("%d requests reached the engine, want %d", n, want)
			}
			for _, system := range []*system{s, host} {
				waitFor(t, func() bool {
					report := &peer.Report{}
					system.FillReport(report, true)
					return len(report.Loads) == 0
				})
			}
		})
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not come true in 5 s")
}

// TestScheduler guards against a scheduler and a daemon that disagree on a request: it runs where the
// scheduler says, a repeated question gets the same answer, and its end frees the endpoint.
func TestScheduler(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { events(w, r, 1, 2, true) })
	s, host := startSystem(t, calm, e), startSystem(t, calm, e)
	var replies []*peer.PlaceReply
	s.schedule(host, func(r *peer.PlaceReply) { replies = append(replies, r) })
	if got := s.call(t, "/model/1", "Token-Usage", "10,10", "Prefix-Hash", "a:5,b:5"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
	if len(replies) != 2 || replies[0].Endpoint == 0 || replies[0] != replies[1] {
		t.Errorf("replies %v", replies)
	}
	report := &peer.Report{}
	host.FillReport(report, true)
	if len(report.Loads) != 0 {
		t.Errorf("the scheduler reports %v as its own", report.Loads)
	}
}
