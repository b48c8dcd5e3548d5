package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is one process of the system, run as deploy/system.toml says, with settings as the template renders them.
type daemon struct {
	id       string
	settings string
	front    string
	ready    string
	control  string
	logFile  *os.File
	cmd      *exec.Cmd
	exited   chan error
}

// deployment holds what the daemons of one case have in common.
type deployment struct {
	dir      string
	binary   string
	memoryMB int
	// seeds are the indexes of the daemons whose control addresses the settings list; nil for the first three.
	seeds   []int
	rec     *record
	daemons []*daemon
}

// freePorts returns addresses on the loopback interface that are free for TCP and UDP. They are below the ports that the
// kernel gives to outgoing connections, so that none of those takes one before the daemon does.
func freePorts(n int) ([]string, error) {
	const lowest, highest, tries = 15000, 30000, 2000
	var out []string
	for range tries {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		defer l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		defer u.Close()
		out = append(out, address)
	}
	return nil, errors.New("not enough free ports")
}

// plan gives addresses to n daemons. Each one reaches the store at the address that storeAddress returns for it.
func (d *deployment) plan(n int, storeAddress func(int) string) error {
	ports, err := freePorts(6 * n)
	if err != nil {
		return err
	}
	if d.seeds == nil {
		for i := range min(n, 3) {
			d.seeds = append(d.seeds, i)
		}
	}
	var seeds []string
	for _, i := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", ports[6*i+3]))
	}
	for i := range n {
		p := ports[6*i : 6*i+6]
		x := &daemon{id: fmt.Sprintf("edge-%d", i+1), front: p[0], ready: p[1], control: p[3]}
		x.settings = filepath.Join(d.dir, x.id+".yaml")
		text := fmt.Sprintf(`id: %q
zone: "z1"
region: "r1"
listen:
  callers: %q
  ready: %q
  directory: %q
  control: %q
  reports: %q
  metrics: %q
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
  retry_reserve: 52
  retry_window: 10s
process:
  memory: %dMB
  cores: 1
  share: 0.4
`, x.id, p[0], p[1], p[2], p[3], p[4], p[5], strings.Join(seeds, ","), storeAddress(i), d.memoryMB)
		if err := os.WriteFile(x.settings, []byte(text), 0o600); err != nil {
			return err
		}
		d.daemons = append(d.daemons, x)
	}
	return nil
}

// start starts a daemon's process.
func (d *deployment) start(x *daemon) error {
	log, err := os.OpenFile(filepath.Join(d.dir, x.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "entry")
	cmd.Env = append(os.Environ(), "CHIVEWIND_SETTINGS="+x.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this program, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	x.cmd, x.logFile, x.exited = cmd, log, make(chan error, 1)
	exited := x.exited
	go func() {
		err := cmd.Wait()
		d.rec.add("daemon %s (pid %d) ended: %v", x.id, cmd.Process.Pid, err)
		exited <- err
		close(exited)
	}()
	d.rec.add("daemon %s started (pid %d)", x.id, cmd.Process.Pid)
	return nil
}

// waitReady waits until a daemon says that it is ready.
func (x *daemon) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + x.ready + "/chivewind/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(x.id + " did not become ready")
}

func (x *daemon) signal(s syscall.Signal) error { return x.cmd.Process.Signal(s) }

// stopAll ends the processes that were started.
func (d *deployment) stopAll() {
	for _, x := range d.daemons {
		if x.cmd != nil {
			_ = x.cmd.Process.Kill()
			<-x.exited
		}
	}
}
