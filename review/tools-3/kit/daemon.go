package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Fields are the settings of a machine, as the platform hands them to a program.
type Fields map[string]any

// lookup returns the value of a dotted name.
func (f Fields) lookup(name string) any {
	var at any = map[string]any(f)
	for _, part := range strings.Split(name, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[part]
		case []string:
			n, err := strconv.Atoi(part)
			if err != nil || n >= len(v) {
				return nil
			}
			at = v[n]
		case []int:
			n, err := strconv.Atoi(part)
			if err != nil || n >= len(v) {
				return nil
			}
			at = v[n]
		default:
			return nil
		}
	}
	return at
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template as DEPLOY.md says, as far as the project's template needs it.
func render(text string, f Fields) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if f.lookup(m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := f.lookup(m[1])
		if v == nil {
			return ""
		}
		if m[2] != "" {
			raw, _ := json.Marshal(v)
			return string(raw)
		}
		return fmt.Sprint(v)
	})
}

// role returns the command and the template of the only role of the deploy file.
func role(root string) (run, template string, err error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return "", "", err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			run = value
		case "template":
			template = value
		}
	}
	if run == "" || template == "" {
		return "", "", errors.New("deploy/system.toml has no run or template")
	}
	return run, template, nil
}

// Daemon is a process of the system.
type Daemon struct {
	Name, IP, Zone string
	Front          string
	Ready          string
	Directory      string

	record   *Record
	root     string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Deployment is what the daemons of a case have in common.
type Deployment struct {
	Root   string
	Record *Record
	// Dir is a temporary folder.
	Dir    string
	Store  string
	Cloud  string
	Region string
	Bounds map[string]any
	// MemoryMB and Share are the size of a machine.
	MemoryMB int
	// MaxFiles is the descriptor limit of a process; 0 leaves it as it is.
	MaxFiles int
	Share    float64
	Daemons  []*Daemon
	// Base is the network of the case, for example "127.41.7.".
	Base string
}

const (
	portFront, portReady, portControl, portDirectory = 8227, 8220, 8229, 8224
	portInternal                                     = 7340
)

// Add adds a machine; its process is started by Start.
func (d *Deployment) Add(zone string) *Daemon {
	n := len(d.Daemons) + 1
	ip := d.Base + strconv.Itoa(10+n)
	p := &Daemon{
		Name: fmt.Sprintf("edge-%s-%d", zone, n), IP: ip, Zone: zone, Front: fmt.Sprintf("%s:%d", ip, portFront), Ready: fmt.Sprintf("%s:%d", ip, portReady),
		Directory: fmt.Sprintf("%s:%d", ip, portDirectory),
		record:    d.Record, root: d.Root,
	}
	d.Daemons = append(d.Daemons, p)
	return p
}

func (d *Deployment) fields(p *Daemon) Fields {
	var seeds []string
	for i, o := range d.Daemons {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", o.IP, portControl))
		}
	}
	f := Fields{
		"node_name": p.Name, "ip": p.IP, "zone": p.Zone, "region": d.Region, "internal_ports": []int{portInternal, portInternal + 15}, "seeds": seeds,
		"listen": map[string]any{
			"front": p.Front, "ready": p.Ready, "control": fmt.Sprintf("%s:%d", p.IP, portControl), "directory": fmt.Sprintf("%s:%d", p.IP, portDirectory),
		},
		"limits":   map[string]any{"cpu_share": d.Share, "cores": 1, "memory_mb": d.MemoryMB},
		"bounds":   d.Bounds,
		"platform": map[string]any{"address": d.Store, "ttl_min_ms": 1000},
	}
	if d.Cloud != "" {
		f["cloud"] = map[string]any{"address": d.Cloud, "duties": []string{"metering", "autoscale"}, "duty_per_s": 50.0}
	}
	return f
}

// Start starts the process of a machine.
func (d *Deployment) Start(p *Daemon) error {
	run, template, err := role(d.Root)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(d.Root, template))
	if err != nil {
		return err
	}
	p.settings = filepath.Join(d.Dir, p.Name+".settings")
	if err := os.WriteFile(p.settings, []byte(render(string(text), d.fields(p))), 0o600); err != nil {
		return err
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(d.Dir, p.Name+".log")); err != nil {
			return err
		}
	}
	words := strings.Fields(run)
	words[0] = filepath.Join(d.Root, words[0])
	if d.MaxFiles > 0 {
		// The shell only sets the descriptor limit of the machine and becomes the program.
		words = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, d.MaxFiles)}, words...)
	}
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Dir = d.Root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVEWIND_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		p.record.Add(p.Name, "process %d has ended: %v", cmd.Process.Pid, err)
		close(exited)
	}(p.cmd, p.exited)
	p.record.Add(p.Name, "process %d started", p.cmd.Process.Pid)
	return nil
}

// StartAll starts all machines and waits until they are ready.
func (d *Deployment) StartAll(limit time.Duration) error {
	for _, p := range d.Daemons {
		if err := d.Start(p); err != nil {
			return err
		}
	}
	for _, p := range d.Daemons {
		if err := p.WaitReady(limit); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the machine says that it is ready.
func (p *Daemon) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.Name, limit)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{}}

// IsReady asks the machine whether it is ready.
func (p *Daemon) IsReady() bool {
	resp, err := readyClient.Get("http://" + p.Ready + "/chivewind/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (p *Daemon) Signal(s syscall.Signal) {
	p.record.Add(p.Name, "gets signal %v", s)
	_ = p.cmd.Process.Signal(s)
}

// Pid returns the process ID.
func (p *Daemon) Pid() int { return p.cmd.Process.Pid }

// Exited reports whether the process has ended.
func (p *Daemon) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended.
func (p *Daemon) Wait() { <-p.exited }

// StopAll kills all processes.
func (d *Deployment) StopAll() {
	for _, p := range d.Daemons {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// FreeBase returns a loopback network whose addresses nobody uses at the ports of the case.
func FreeBase() (string, error) {
	seed := os.Getpid()
	for n := range 200 {
		base := fmt.Sprintf("127.%d.%d.", 30+(seed+n)%200, 1+(seed/200+n*7)%250)
		free := true
		for _, host := range []int{1, 11, 12, 13, 14} {
			for _, port := range []int{portFront, portReady, portControl, portDirectory, portInternal, 9464, PortStore, PortCloud} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", base, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return "", errors.New("no free loopback network")
}

// Ports of the platform's stand-ins.
const (
	PortStore = 8223
	PortCloud = 8424
)
