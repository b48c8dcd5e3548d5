package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the ports that the daemons have on each of their machines.
type Ports struct{ Front, Ready, Control, Directory, Internal, Metrics int }

// FreePorts returns ports that are free on all of the given addresses.
func FreePorts(ips []string) (Ports, error) {
	var found []int
	for len(found) < 6 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return Ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	return Ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
}

// Daemon is one process of the program under review, run as the deploy file says.
type Daemon struct {
	Name, IP string
	Ports    Ports

	settings string
	root     string
	logPath  string
	record   *Record

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
	// closed is set when no further process may be started.
	closed bool
}

// Fleet describes the settings that all daemons share.
type Fleet struct {
	Root, Dir string
	Store     string
	Zones     []string
	Record    *Record
}

// settingsText renders the project's settings template with the values of a small deployment.
func (f *Fleet) settingsText(d *Daemon, zone string, seeds []string) string {
	at := func(port int) string { return strconv.Quote(fmt.Sprintf("%s:%d", d.IP, port)) }
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(s)
	}
	return fmt.Sprintf(`id: %q
zone: %q
region: "almaty"
listen:
  callers: %s
  ready: %s
  directory: %s
  control: %s
  reports: %s
  metrics: %s
join: [%s]
kv:
  use: kv.managed
  with:
    address: %q
min_lease: 1000ms
bounds:
  drain: 2000ms
  stop: 8s
  retry_ratio: 0.2
  retry_reserve: %d
  retry_window: 10s
process:
  memory: %dMB
  cores: 1
  share: 0.4
`, d.Name, zone, at(d.Ports.Front), at(d.Ports.Ready), at(d.Ports.Directory), at(d.Ports.Control), at(d.Ports.Internal), at(d.Ports.Metrics),
		strings.Join(quoted, ","), f.Store, retrySlack, memoryMB)
}

// New creates the settings of n daemons, each with a loopback address of its own; the first three are seeds.
func (f *Fleet) New(n int) ([]*Daemon, error) {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.41.%d.%d", os.Getpid()%200, i+1))
	}
	ports, err := FreePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], ports.Control))
	}
	var all []*Daemon
	for i, ip := range ips {
		zone := f.Zones[i%len(f.Zones)]
		d := &Daemon{Name: fmt.Sprintf("edge-%s-%d", zone, i/len(f.Zones)+1), IP: ip, Ports: ports, root: f.Root, record: f.Record}
		d.settings = filepath.Join(f.Dir, d.Name+".yaml")
		d.logPath = filepath.Join(f.Dir, d.Name+".log")
		if err := os.WriteFile(d.settings, []byte(f.settingsText(d, zone, seeds)), 0o600); err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	return all, nil
}

// Start starts the process with the command of the deploy file. The limit on its descriptors is that of the settings.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errors.New("the case is over")
	}
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/chivewind entry", maxFiles))
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVEWIND_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	d.cmd, d.end = cmd, end
	d.record.Addf("process %s started, pid %d", d.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.record.Addf("process %s ended: %v", d.Name, err)
		close(end)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.record.Addf("signal %v to %s", s, d.Name)
		_ = d.cmd.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the current process has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.end
}

// PID returns the id of the current process.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// End kills the process, waits for its end and lets no other be started.
func (d *Daemon) End() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.Signal(syscall.SIGKILL)
	if end := d.Ended(); end != nil {
		<-end
	}
}

// At returns an address of the daemon.
func (d *Daemon) At(port int) string { return fmt.Sprintf("%s:%d", d.IP, port) }

// WaitReady waits until the daemon answers the readiness probe with 200.
func (d *Daemon) WaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + d.At(d.Ports.Ready) + "/chivewind/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.Name, limit)
}
