package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/faultproxy"
	"github.com/chivewind/chivewind/platform/managed/standin"
)

const (
	daemonCount   = 3
	endpointCount = 3
	callerCount   = 6
	// recoverBound is how long the system may take to serve again after the last fault; the platform's pages
	// allow 12 s, and a busy machine takes longer.
	recoverBound = 30 * time.Second
)

// system is the daemons under test with what surrounds them.
type system struct {
	t         *testing.T
	store     *standin.Store
	daemons   []*daemon
	endpoints []*endpoint
	done      chan struct{}
	callers   sync.WaitGroup

	mu      sync.Mutex
	version int
	faults  map[string]int
	runs    map[string]int
	results []result
	nextID  int
}

func newSystem(t *testing.T, seed uint64) *system {
	s := &system{t: t, store: standin.New(), done: make(chan struct{}), faults: map[string]int{}, runs: map[string]int{}}
	t.Cleanup(s.store.Close)
	s.publish()
	for i := range endpointCount {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	dir := t.TempDir()
	var seeds []string
	for i := range daemonCount {
		d := newDaemon(t, s, dir, i, seed)
		seeds = append(seeds, d.control)
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.writeSettings(seeds)
		d.start()
	}
	for i := range callerCount {
		s.callers.Add(1)
		go s.call(i)
	}
	return s
}

func (s *system) note(fault, where string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[strings.TrimSpace(fault)]++
	_ = where
}

// publish writes the next configuration, with a route that only it has, and returns its version.
func (s *system) publish() int {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	var routes []string
	for _, r := range []struct{ prefix, kind, extra string }{
		{"/once/", "unsafe", ""}, {"/safe/", "safe", ""}, {"/stream/", "streaming", ""}, {"/resume/", "streaming", `,"resumable":true`},
		{fmt.Sprintf("/version-%d/", version), "safe", ""},
	} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"h","prefix":%q,"route_kind":%q,"service":"s","max_attempts":2,"timeout_ms":3000%s}`, r.prefix, r.prefix, r.kind, r.extra))
	}
	s.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","max_conns":100}]}`, version, strings.Join(routes, ","))))
	return version
}

// heal ends all faults.
func (s *system) heal() {
	s.store.SetSilent(false)
	s.store.SetStatus(0)
	for _, d := range s.daemons {
		d.heal()
	}
	for _, e := range s.endpoints {
		e.fail(0)
	}
}

// stop ends the callers and then the daemons.
func (s *system) stop() {
	close(s.done)
	s.callers.Wait()
	for _, d := range s.daemons {
		d.end(syscall.SIGTERM)
	}
}

// daemon is one process of the program that is started again whenever it ends.
type daemon struct {
	t       *testing.T
	name    string
	file    string
	log     string
	entry   string
	lookup  string
	control string
	reports string
	proxy   *faultproxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// ending stops restarts.
	ending bool
	// exited is closed when the present process has ended.
	exited chan struct{}
}

func newDaemon(t *testing.T, s *system, dir string, i int, seed uint64) *daemon {
	proxy, err := faultproxy.New(s.store.Address(), seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	name := fmt.Sprint("vm-", i)
	return &daemon{
		t: t, name: name, file: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"), proxy: proxy,
		entry: freeAddress(t), lookup: freeAddress(t), control: freeAddress(t), reports: freeAddress(t),
	}
}

const (
	// firstPort and lastPort bound the ports of daemons. They lie below the usual range of outgoing connections,
	// one of which could take a port before the daemon binds it, or while it restarts.
	firstPort = 20000
	lastPort  = 32000
)

// givenPorts are the ports that freeAddress has returned.
var givenPorts sync.Map

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (d *daemon) writeSettings(seeds []string) {
	text := fmt.Sprintf(`id: %s
zone: z
listen: {callers: "%s", directory: "%s", control: "%s", reports: "%s"}
join: ["%s"]
kv: {use: kv.managed, with: {address: "%s", watch_wait: 1s}}
bounds: {stop: 4s, retry_reserve: 50}
`, d.name, d.entry, d.lookup, d.control, d.reports, strings.Join(seeds, `", "`), d.proxy.Addr())
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		d.end(syscall.SIGKILL)
		if d.t.Failed() {
			const tail = 3000
			raw, _ := os.ReadFile(d.log)
			d.t.Logf("log of %s (end):\n%s", d.name, raw[max(0, len(raw)-tail):])
		}
	})
}

// start runs the program unless the daemon is ending.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		return
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(binary, "entry", "-c", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		_ = out.Close()
		close(exited)
	}()
	d.cmd, d.exited = cmd, exited
}

func (d *daemon) process() (*exec.Cmd, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd, d.exited
}

// end signals the process, which is not started again, and waits for its end.
func (d *daemon) end(signal syscall.Signal) {
	d.mu.Lock()
	d.ending = true
	d.mu.Unlock()
	cmd, exited := d.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(signal)
	<-exited
}

// restart ends the process by a signal and starts it again, in the background.
func (d *daemon) restart(signal syscall.Signal) {
	cmd, exited := d.process()
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(signal)
	go func() {
		<-exited
		d.mu.Lock()
		mine := d.cmd == cmd
		d.mu.Unlock()
		if mine {
			d.start()
		}
	}()
}

func (d *daemon) pause(lasting time.Duration) {
	cmd, _ := d.process()
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(lasting, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
}

// cutStore breaks the daemon's path to the store in one of several ways.
func (d *daemon) cutStore(lasting time.Duration, how int) {
	d.proxy.Set([]faultproxy.Fault{{Cut: true}, {DropToClient: true}, {SilenceOpen: true}}[how])
	time.AfterFunc(lasting, func() { d.proxy.Set(faultproxy.Fault{}) })
}

// heal ends the faults of the daemon and waits until it runs.
func (d *daemon) heal() {
	d.proxy.Set(faultproxy.Fault{})
	cmd, _ := d.process()
	_ = cmd.Process.Signal(syscall.SIGCONT)
}
