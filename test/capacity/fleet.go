package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
)

// process is a child process of this program.
type process struct {
	// cmd is nil when the process does not run.
	cmd *exec.Cmd
	// logPath is the file with the output of the process.
	logPath string
}

// daemon is one chivewind process.
type daemon struct {
	process
	id string
	// Addresses of the listeners for callers, administration and peers.
	callersAddr, adminAddr, peerAddr string
}

// fleet has all processes of a measurement.
type fleet struct {
	options options
	// dir has the settings and logs of the processes.
	dir string
	// kvAddr is the address of the key-value stand-in.
	kvAddr   string
	standins process
	daemons  []*daemon
}

// Offsets from the first port, which is that of the key-value stand-in.
const (
	vmListOffset   = 1
	endpointOffset = 10
	daemonOffset   = 1000
	portsPerDaemon = 3
)

const (
	// maxJoinAddresses is the largest number of peers that a daemon is given to join.
	maxJoinAddresses = 3
	// readyTimeout limits the wait for a process to answer, for a revision to be in force and for a kill to be
	// detected.
	readyTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	testModel    = "bonsai"
	bookingPath  = "/bookings/"
)

var zones = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7"}

func newFleet(o options) (*fleet, error) {
	dir, err := os.MkdirTemp("", "chivewind-capacity")
	if err != nil {
		return nil, err
	}
	return &fleet{options: o, dir: dir, kvAddr: loopbackAddr(o.port)}, nil
}

func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// close kills all processes of the fleet and removes their files.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	f.standins.kill()
	os.RemoveAll(f.dir)
}

func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// spawn starts the chivewind binary, with maxProcs as its GOMAXPROCS and its output in a log file.
func (f *fleet) spawn(name, maxProcs string, args ...string) (process, error) {
	p := process{logPath: filepath.Join(f.dir, name+".log")}
	out, err := os.Create(p.logPath)
	if err != nil {
		return p, err
	}
	defer out.Close()
	cmd := exec.Command(f.options.binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+maxProcs)
	if err := cmd.Start(); err != nil {
		return p, err
	}
	p.cmd = cmd
	return p, nil
}

// start starts the stand-ins and the daemons, and applies the configuration.
func (f *fleet) start(ctx context.Context) (err error) {
	c := f.config()
	file := filepath.Join(f.dir, "config.yaml")
	if err := writeYAML(file, c); err != nil {
		return err
	}
	f.standins, err = f.spawn("standins", "2", "standin", "all", "-c", file, "--kv", f.kvAddr,
		"--vm-list", loopbackAddr(f.options.port+vmListOffset), "--token-time", f.options.tokenTime.String())
	if err != nil {
		return err
	}
	if err := awaitHTTP(ctx, "http://"+f.kvAddr+"/admin/counters"); err != nil {
		return err
	}
	for i := range f.options.daemons {
		if err := f.startDaemon(i); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := awaitHTTP(ctx, "http://"+d.adminAddr+"/metrics"); err != nil {
			return err
		}
	}
	return f.apply(ctx, c)
}

// apply sends the configuration to the first daemon and waits until it is in force on all.
func (f *fleet) apply(ctx context.Context, c *config.Config) error {
	client := adminapi.Client{Base: "http://" + f.daemons[0].adminAddr}
	var change adminapi.Change
	if err := client.Send(ctx, http.MethodPut, "/admin/v1/config", c, 0, &change); err != nil {
		return err
	}
	_, err := f.awaitRevision(ctx, change.Revision, time.Now())
	return err
}

// startDaemon writes the settings file of daemon i, starts the daemon and adds it to the fleet.
func (f *fleet) startDaemon(i int) error {
	base := f.options.port + daemonOffset + i*portsPerDaemon
	d := &daemon{
		id:          "d" + strconv.Itoa(i+1),
		callersAddr: loopbackAddr(base),
		adminAddr:   loopbackAddr(base + 1),
		peerAddr:    loopbackAddr(base + 2),
	}
	var join []string
	for _, other := range f.daemons[:min(i, maxJoinAddresses)] {
		join = append(join, other.peerAddr)
	}
	file := filepath.Join(f.dir, d.id+".yaml")
	err := writeYAML(file, map[string]any{
		"id": d.id, "zone": zones[i%len(zones)], "region": "region-1", "join": join,
		"listen":  map[string]string{"callers": d.callersAddr, "admin": d.adminAddr, "peer": d.peerAddr},
		"kv":      map[string]any{"use": "kv.etcd", "with": map[string]any{"endpoints": []string{"http://" + f.kvAddr}}},
		"vm_list": map[string]any{"use": "vmlist.http", "with": map[string]string{"url": "http://" + loopbackAddr(f.options.port+vmListOffset) + "/vms"}},
	})
	if err != nil {
		return err
	}
	if d.process, err = f.spawn(d.id, "1", "serve", "-c", file); err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	return nil
}

// config returns a configuration with one pool of engines and one plain pool for non-idempotent
// requests.
func (f *fleet) config() *config.Config {
	quick := config.Class{Name: "quick", Tier: 1, FirstToken: config.Duration(1200 * time.Millisecond), BetweenTokens: config.Duration(34 * time.Millisecond)}
	middle := config.Class{Name: "middle", Tier: 2, FirstToken: config.Duration(3 * time.Second), Late: config.LateDemote}
	long := config.Class{Name: "long", Tier: 3, Total: config.Duration(10 * time.Minute), Late: config.LateServe}
	classes := []config.Class{quick, middle, long}
	c := &config.Config{
		Preset:  "ordinary",
		Presets: []config.Preset{{Name: "ordinary", Classes: classes}, {Name: "peak", Classes: classes}},
		Pools:   []config.Pool{{Name: "models", Kind: config.KindEngine, Model: testModel, ShardSize: f.options.shardSize}, {Name: "registry", Kind: config.KindPlain}},
		Routes:  []config.Route{{Path: bookingPath, Pool: "registry", Class: "quick", NonIdempotent: []string{"POST"}}},
	}
	for i := range f.options.workspaces {
		w := config.Workspace{Name: fmt.Sprintf("workspace-%04d", i), DefaultClass: "quick", Weight: 1}
		if f.options.keys {
			w.KeyHashes = []string{fmt.Sprintf("%x", sha256.Sum256([]byte(w.Name)))}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	for i := range f.options.engines {
		c.Endpoints = append(c.Endpoints, config.Endpoint{ID: fmt.Sprintf("engine-%03d", i), Pool: "models", Zone: zones[i%len(zones)],
			URL: "http://" + loopbackAddr(f.options.port+endpointOffset+i), MaxSlots: 64,
			Capabilities: []config.Capability{config.CapPriority, config.CapResume, config.CapLoad, config.CapCacheEvents}})
	}
	c.Endpoints = append(c.Endpoints, config.Endpoint{ID: "plain-1", Pool: "registry", Zone: zones[0], MaxSlots: 64,
		URL: "http://" + loopbackAddr(f.options.port+endpointOffset+f.options.engines)})
	return c
}

func writeYAML(file string, v any) error {
	raw, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

// awaitHTTP polls a URL until it answers.
func awaitHTTP(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not answer: %w", url, err)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
