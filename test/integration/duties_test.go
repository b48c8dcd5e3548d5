package integration

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/faultproxy"
	"github.com/chivewind/chivewind/platform/managed/standin"
)

const (
	dutyLease   = 3 * time.Second
	usageWindow = 2 * time.Second
	usageDue    = 10 * time.Second
	// takeoverTimeout is the time within which another daemon must act after the holder has failed. It allows for a
	// heavily loaded machine.
	takeoverTimeout = 30 * time.Second
)

// dutySystem is a fleet of entry daemons with duties, and stand-ins of the store, the control plane and an endpoint.
type dutySystem struct {
	t       *testing.T
	dir     string
	store   *standin.Store
	control *standin.ControlPlane
	daemons []*dutyDaemon

	mu sync.Mutex
	// executed has the number of requests that the endpoint executed, by window.
	executed map[int64]int
}

// dutyDaemon is an entry daemon.
type dutyDaemon struct {
	*process
	s             *dutySystem
	id, file      string
	callers, peer string
	kv            *faultproxy.Proxy
}

func newDutySystem(t *testing.T) *dutySystem {
	s := &dutySystem{t: t, dir: t.TempDir(), store: standin.New(), control: standin.NewControlPlane(dutyLease), executed: map[int64]int{}}
	t.Cleanup(s.control.Close)
	t.Cleanup(s.store.Close)
	s.store.ExpireLeases()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.executed[time.Now().UnixNano()/int64(usageWindow)]++
		s.mu.Unlock()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Stamp", "stamp")
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(endpoint.Close)
	s.store.Put("servers/e1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","slots":6,"state":"ready"}`, endpoint.Listener.Addr()))
	s.store.Put("op/config", []byte(`{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/","route_kind":"safe","service":"s","max_attempts":1,"timeout_ms":3000}],
		"services":[{"name":"s","max_conns":100}],"tenants":[{"name":"t1","api_keys":["k1"]}]}`))
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(t)) }
	var join []string
	for i := range 3 {
		d := &dutyDaemon{s: s, id: fmt.Sprint("vm-", i), callers: address(), peer: address()}
		var err error
		if d.kv, err = faultproxy.New(s.store.Address(), 1); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.kv.Close)
		join = append(join, d.peer)
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.file = filepath.Join(s.dir, d.id+".yaml")
		text := fmt.Sprintf(`id: %s
zone: z
listen: {callers: "%s", control: "%s", reports: "%s"}
join: ["%s"]
kv: {use: kv.managed, with: {address: "%s", watch_wait: 1s}}
control_plane: {use: control.managed, with: {address: "%s", duties: [metering], calls_per_second: 50}}
duties: {lease: %s, usage_window: %s, usage_due: %s}
bounds: {stop: 4s}
`, d.id, d.callers, d.peer, address(), strings.Join(join, `", "`), d.kv.Addr(), s.control.Address(), dutyLease, usageWindow, usageDue)
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.start()
	}
	return s
}

func (d *dutyDaemon) start() {
	d.process = startProcess(d.s.t, d.s.dir, d.id, "entry", "-c", d.file)
}

// waitHolder waits until a daemon other than the given one makes a call after since, and returns it.
func (s *dutySystem) waitHolder(since time.Time, other *dutyDaemon) (holder *dutyDaemon) {
	s.t.Helper()
	eventually(s.t, takeoverTimeout, "another daemon acts", func() error {
		for _, call := range s.control.Calls(since) {
			for _, d := range s.daemons {
				if d.id == call.Daemon && d != other {
					holder = d
					return nil
				}
			}
		}
		return errors.New("no call")
	})
	return holder
}

// request sends requests to a daemon until one is served.
func (s *dutySystem) request(d *dutyDaemon) {
	s.t.Helper()
	eventually(s.t, startTimeout, "a request is served by "+d.id, func() error {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.callers+"/x", nil)
		if err != nil {
			return err
		}
		req.Host = "h"
		req.Header.Set("Authorization", "Token k1")
		req.Header.Set("Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
		req.Header.Set("Deadline-Ms", "3000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.New(resp.Status)
		}
		return nil
	})
}

// checkWindows waits until the current window is reported, and checks that all windows since the first one are, with the
// number of requests that the endpoint executed, and that rule ONE holds.
func (s *dutySystem) checkWindows() {
	s.t.Helper()
	last := time.Now().UnixNano() / int64(usageWindow)
	eventually(s.t, takeoverTimeout, "the current window is reported", func() error {
		if _, ok := s.control.Windows()[last]; !ok {
			return errors.New("not reported")
		}
		return nil
	})
	windows, first := s.control.Windows(), last
	for k := range windows {
		first = min(first, k)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	difference := 0
	for k := first; k <= last; k++ {
		if w, ok := windows[k]; !ok {
			s.t.Errorf("window %d is not reported; first %d, last %d", k, first, last)
		} else if reported := w.Counts["t1"]; reported != s.executed[k] {
			s.t.Logf("window %d: %d requests reported, %d executed", k, reported, s.executed[k])
			difference += reported - s.executed[k]
		}
	}
	// A request may begin at the endpoint in one window and be answered in the next one.
	if difference != 0 {
		s.t.Errorf("%d more requests reported than executed", difference)
	}
	for _, violation := range s.control.Violations() {
		s.t.Error(violation)
	}
}

// TestDutTakeover guards against a holder that acts after it was frozen through a takeover, against the successor's
// windows and counts that differ from its own, and against a duty that nobody holds when the holder is killed, restarted
// under its name, cut off from the store or stopped.
func TestDutTakeover(t *testing.T) {
	s := newDutySystem(t)
	holder := s.waitHolder(time.Time{}, nil)
	for _, c := range []struct {
		fault      string
		start, end func(*dutyDaemon)
	}{
		{"frozen", func(d *dutyDaemon) { d.pause() }, func(d *dutyDaemon) { d.resume() }},
		{"cut off from the store", func(d *dutyDaemon) { d.kv.SetFault(faultproxy.Fault{Cut: true}) }, func(d *dutyDaemon) { d.kv.SetFault(faultproxy.Fault{}) }},
		{"killed", func(d *dutyDaemon) { d.kill(); d.start() }, func(*dutyDaemon) {}},
		{"stopped", func(d *dutyDaemon) { d.terminate(startTimeout) }, func(d *dutyDaemon) { d.start() }},
	} {
		for _, d := range s.daemons {
			s.request(d)
		}
		// The counts of the last requests are reported before the fault.
		<-time.After(time.Second)
		start := time.Now()
		c.start(holder)
		next := s.waitHolder(start.Add(time.Second), nil)
		if next == holder && c.fault != "killed" {
			// A call that was on its way when the fault began.
			next = s.waitHolder(start.Add(time.Second), holder)
		}
		t.Logf("%s: %s acts %s after it", c.fault, next.id, time.Since(start).Round(time.Millisecond))
		c.end(holder)
		holder = next
	}
	s.control.SetDropReplies(true)
	s.request(s.daemons[0])
	<-time.After(2 * usageWindow)
	s.control.SetDropReplies(false)
	s.checkWindows()
}

// TestDutReturnFromOlderCopy guards against a window that is reported with other counts, and against a lower fencing token,
// after the store has come back from a copy that has neither the holder nor its reports.
func TestDutReturnFromOlderCopy(t *testing.T) {
	s := newDutySystem(t)
	older := s.store.Snapshot()
	holder := s.waitHolder(time.Time{}, nil)
	for _, d := range s.daemons {
		s.request(d)
	}
	// A restarted daemon lacks the counts of its former process, which the holder has.
	<-time.After(time.Second)
	for _, d := range s.daemons {
		if d != holder {
			d.terminate(startTimeout)
			d.start()
			s.request(d)
			break
		}
	}
	<-time.After(2 * usageWindow)
	for range 2 {
		s.store.SetSilent(true)
		<-time.After(500 * time.Millisecond)
		s.store.Restore(older)
		s.store.SetSilent(false)
		back := time.Now()
		// Calls that were on their way when the store went away may still arrive.
		next := s.waitHolder(back.Add(dutyLease), nil)
		t.Logf("%s acts after the return, %s before it", next.id, holder.id)
		for _, d := range s.daemons {
			s.request(d)
		}
		<-time.After(usageWindow)
	}
	s.checkWindows()
}
