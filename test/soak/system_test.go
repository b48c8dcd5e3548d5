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
	"sync/atomic"
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
	// recoveryTimeout is the maximum time until the system serves requests again after the last fault. The platform
	// documentation allows 12 s; the rest is for a heavily loaded machine.
	recoveryTimeout = 30 * time.Second
	// signalSetupTime is the time after its start within which a daemon must handle signals, on a heavily loaded machine.
	signalSetupTime = time.Second
	// dutyLease is the lease of duties and usageWindow the length of a window of usage. Short windows make many calls.
	dutyLease   = 3 * time.Second
	usageWindow = time.Second
)

// system contains the daemons under test, their store, endpoints and callers, and what these observed.
type system struct {
	t         *testing.T
	store     *standin.Store
	control   *standin.ControlPlane
	daemons   []*daemon
	endpoints []*endpoint
	done      chan struct{}
	callers   sync.WaitGroup

	mu sync.Mutex
	// version is the last published configuration version.
	version int
	// faults counts the injected faults by name.
	faults map[string]int
	// runs counts the executions at the endpoints by attempt ID.
	runs    map[string]int
	results []result
	// lastID is the number in the last attempt ID.
	lastID int
	// senders are the daemons to which attempts were sent, and marks what endpoints told daemons last. markProblems are
	// the violations of earlier ones, and marksSeen is their number.
	senders      map[string]sender
	marks        map[markKey]*mark
	markProblems []string
	marksSeen    int
}

func newSystem(t *testing.T, seed uint64) *system {
	s := &system{t: t, store: standin.New(), control: standin.NewControlPlane(dutyLease), done: make(chan struct{}), faults: map[string]int{}, runs: map[string]int{}, senders: map[string]sender{}, marks: map[markKey]*mark{}}
	t.Cleanup(s.control.Close)
	t.Cleanup(s.store.Close)
	s.store.ExpireLeases()
	s.publishConfig()
	for i := range endpointCount {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	dir := t.TempDir()
	var joinAddresses []string
	for i := range daemonCount {
		d := newDaemon(t, s, dir, i, seed)
		joinAddresses = append(joinAddresses, d.control)
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.writeSettings(joinAddresses)
		d.start()
	}
	for i := range callerCount {
		s.callers.Add(1)
		go s.runCaller(i)
	}
	return s
}

func (s *system) recordFault(fault, where string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[strings.TrimSpace(fault)]++
	_ = where
}

// publishConfig writes the next configuration version, which contains a route unique to it, and returns the
// version.
func (s *system) publishConfig() int {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.writeConfig(version)
	return version
}

// writeConfig writes a configuration version.
func (s *system) writeConfig(version int) {
	var routes []string
	for _, r := range []struct{ prefix, kind, extra string }{
		{"/once/", "unsafe", ""}, {"/safe/", "safe", ""}, {"/stream/", "streaming", ""}, {"/resume/", "streaming", `,"resumable":true`},
		{fmt.Sprintf("/version-%d/", version), "safe", ""},
	} {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"hostname":"h","prefix":%q,"route_kind":%q,"service":"s","max_attempts":2,"timeout_ms":3000%s}`, r.prefix, r.prefix, r.kind, r.extra))
	}
	s.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","max_conns":100}],"tenants":[{"name":"t1","api_keys":["k1"]}]}`, version, strings.Join(routes, ","))))
}

// clearFaults ends all faults of the store, the daemons and the endpoints.
func (s *system) clearFaults() {
	s.store.SetSilent(false)
	s.store.SetStatus(0)
	for _, d := range s.daemons {
		d.clearFaults()
	}
	for _, e := range s.endpoints {
		e.failFor(0)
		e.pauseFor(0)
	}
}

// stop stops the callers and then the daemons.
func (s *system) stop() {
	close(s.done)
	s.callers.Wait()
	for _, d := range s.daemons {
		d.stop(syscall.SIGTERM)
	}
}

// daemon is a process of the program that is restarted when a fault ends it.
type daemon struct {
	t    *testing.T
	name string
	// file and log are the paths of the settings file and of the log file.
	file string
	log  string
	// entry, directory, control and reports are the addresses of the listeners; entry is the one for callers.
	entry     string
	directory string
	control   string
	reports   string
	// controlPlane is the address of the platform's control plane.
	controlPlane string
	// proxy forwards the daemon's connections to the store.
	proxy *faultproxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopping prevents restarts.
	stopping bool
	// exited is closed when the current process has exited.
	exited chan struct{}
	// epoch counts the disturbances of the process: signals, and the ends of pauses.
	epoch atomic.Int64
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
		entry: freeAddress(t), directory: freeAddress(t), control: freeAddress(t), reports: freeAddress(t),
		controlPlane: s.control.Address(),
	}
}

const (
	// firstPort and lastPort delimit the daemons' ports. They lie below the usual ephemeral port range: an outgoing
	// connection could otherwise take a port before a daemon binds it or while the daemon restarts.
	firstPort = 20000
	lastPort  = 32000
)

// allocatedPorts are the ports that freeAddress has returned.
var allocatedPorts sync.Map

// freeAddress returns a loopback address whose port is free for TCP and UDP and has not been returned before.
func freeAddress(t *testing.T) string {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, allocated := allocatedPorts.LoadOrStore(port, true); allocated {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packetConn, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			_ = packetConn.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (d *daemon) writeSettings(joinAddresses []string) {
	text := fmt.Sprintf(`id: %s
zone: z
listen: {callers: "%s", directory: "%s", control: "%s", reports: "%s"}
join: ["%s"]
kv: {use: kv.managed, with: {address: "%s", watch_wait: 1s}}
bounds: {stop: 4s, retry_reserve: 50}
control_plane: {use: control.managed, with: {address: "%s", duties: [metering]}}
duties: {lease: %s, usage_window: %s}
`, d.name, d.entry, d.directory, d.control, d.reports, strings.Join(joinAddresses, `", "`), d.proxy.Addr(), d.controlPlane, dutyLease, usageWindow)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		d.stop(syscall.SIGKILL)
		if d.t.Failed() {
			const tail = 3000
			raw, _ := os.ReadFile(d.log)
			d.t.Logf("log of %s (end):\n%s", d.name, raw[max(0, len(raw)-tail):])
		}
	})
}

// start starts the process unless the daemon is stopping.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(binary, "entry", "-c", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	started := time.Now()
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		// The tests end a daemon with SIGKILL or by a graceful stop. Signals end a process that does not handle them yet.
		status := cmd.ProcessState.Sys().(syscall.WaitStatus)
		if time.Since(started) > signalSetupTime && status.Signal() != syscall.SIGKILL && status.ExitStatus() != 0 {
			d.t.Errorf("%s ended by itself: %s", d.name, cmd.ProcessState)
		}
		close(exited)
	}()
	d.cmd, d.exited = cmd, exited
}

func (d *daemon) process() (*exec.Cmd, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd, d.exited
}

// stop prevents restarts, signals the process and waits for its exit.
func (d *daemon) stop(signal syscall.Signal) {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	cmd, exited := d.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(signal)
	<-exited
}

// restart signals the process and, in the background, starts it again after its exit.
func (d *daemon) restart(signal syscall.Signal) {
	d.epoch.Add(1)
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
		current := d.cmd == cmd
		d.mu.Unlock()
		if current {
			d.start()
		}
	}()
}

// reloadLater signals the current process, after the given time, to read its settings again.
func (d *daemon) reloadLater(delay time.Duration) {
	cmd, _ := d.process()
	time.AfterFunc(delay, func() { _ = cmd.Process.Signal(syscall.SIGHUP) })
}

func (d *daemon) pause(duration time.Duration) {
	cmd, _ := d.process()
	d.epoch.Add(1)
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() {
		d.epoch.Add(1)
		_ = cmd.Process.Signal(syscall.SIGCONT)
	})
}

// injectStoreFault injects a fault of one of three kinds into the connections to the store for the given time.
func (d *daemon) injectStoreFault(duration time.Duration, kind int) {
	d.proxy.SetFault([]faultproxy.Fault{{Cut: true}, {DropToClient: true}, {StallOpen: true}}[kind])
	time.AfterFunc(duration, func() { d.proxy.SetFault(faultproxy.Fault{}) })
}

// clearFaults ends the network faults of the daemon and resumes its process.
func (d *daemon) clearFaults() {
	d.proxy.SetFault(faultproxy.Fault{})
	cmd, _ := d.process()
	_ = cmd.Process.Signal(syscall.SIGCONT)
}
