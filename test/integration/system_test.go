package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/faultproxy"
	"github.com/chivewind/chivewind/settings"
)

// options configures the processes of a test.
type options struct {
	daemons int
	engines int
	plains  int
	// tokenTime and prefill are the engines' time per token and base time to the first token, as durations such as
	// "2ms".
	tokenTime, prefill string
	// writeStall is the daemons' timeout for a caller that accepts no bytes; 0 selects the default.
	writeStall time.Duration
	// configure changes the configuration before it is applied.
	configure func(*config.Config)
}

// daemon is a chivewind process behind fault-injection proxies.
type daemon struct {
	*process
	id string
	// file is the path of the settings file.
	file string
	// callers and admin are the listen addresses for callers and for administration.
	callers string
	admin   string
	// peer proxies connections from other daemons to this one, kv those from this daemon to the key-value
	// service.
	peer, kv *faultproxy.Proxy
}

// service is a stand-in process behind a fault-injection proxy.
type service struct {
	*process
	id string
	// addr is the listen address; the configuration has the address of the proxy instead.
	addr  string
	proxy *faultproxy.Proxy
}

// system is a set of real processes: daemons, and stand-ins for the platform and for endpoints.
type system struct {
	t          *testing.T
	dir        string
	seed       uint64
	writeStall time.Duration
	// kv and vms are the stand-ins of the key-value service and the VM list.
	kv, vms *service
	engines []*service
	plains  []*service
	daemons []*daemon
	log     *eventLog

	// mu guards available, the daemons that callers may use. daemons has no lock: only the test's goroutine changes
	// it, and goroutines that run during addDaemon use availableDaemons instead.
	mu        sync.Mutex
	available []*daemon
}

// availableDaemons returns the daemons that callers may use.
func (s *system) availableDaemons() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// zones are the availability zones of the test systems.
var zones = []string{"sapporo", "asahikawa", "hakodate"}

// startTimeout limits the start of each process and of the whole system.
const startTimeout = 15 * time.Second

// newSystem starts all processes, applies the configuration and waits until it is active on every daemon.
func newSystem(t *testing.T, o options) *system {
	t.Helper()
	if o.tokenTime == "" {
		o.tokenTime = "2ms"
	}
	if o.prefill == "" {
		o.prefill = "5ms"
	}
	s := &system{t: t, dir: t.TempDir(), seed: 1, log: newEventLog(t), writeStall: o.writeStall}
	s.kv = s.startService("kv", "standin", "kv")
	s.vms = s.startService("vmlist", "standin", "vmlist")
	for i := range o.engines {
		s.engines = append(s.engines, s.startService(fmt.Sprintf("engine-%d", i+1),
			"standin", "engine", "--model", "bonsai", "--token-time", o.tokenTime, "--prefill", o.prefill))
	}
	for i := range o.plains {
		s.plains = append(s.plains, s.startService(fmt.Sprintf("plain-%d", i+1), "standin", "plain"))
	}
	for range o.daemons {
		s.addDaemon()
	}
	for _, d := range s.daemons {
		s.startDaemon(d)
	}
	c := s.config()
	if o.configure != nil {
		o.configure(c)
	}
	s.apply(c)
	return s
}

// startService starts a stand-in on a free port, behind a proxy.
func (s *system) startService(id string, args ...string) *service {
	s.t.Helper()
	addr := fmt.Sprintf("127.0.0.1:%d", freePort(s.t))
	v := &service{id: id, addr: addr, proxy: s.newProxy(addr)}
	v.process = startProcess(s.t, s.dir, id, append(args, "--listen", addr)...)
	eventually(s.t, startTimeout, id+" listens", func() error {
		resp, err := http.Get("http://" + addr + "/")
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
	return v
}

func (s *system) newProxy(target string) *faultproxy.Proxy {
	s.t.Helper()
	p, err := faultproxy.New(target, s.seed)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

// addDaemon adds a daemon and writes its settings file, without starting it.
func (s *system) addDaemon() *daemon {
	s.t.Helper()
	n := len(s.daemons)
	newAddress := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(s.t)) }
	peerAddr := newAddress()
	d := &daemon{id: fmt.Sprintf("d%d", n+1), callers: newAddress(), admin: newAddress(), peer: s.newProxy(peerAddr), kv: s.newProxy(s.kv.addr)}
	set := settings.Settings{
		ID: d.id, Zone: zones[n%len(zones)], Region: "hokkaido",
		Listen: settings.Listen{Callers: d.callers, Admin: d.admin, Peer: peerAddr, PeerAdvertise: d.peer.Addr()},
		KV:     settings.Module{Use: "kv.etcd"},
		VMList: settings.Module{Use: "vmlist.http"},
		// A short validity shortens graceful shutdowns without changing their sequence of steps.
		Limits: settings.Limits{
			EntryValidity:     config.Duration(entryValidity),
			WriteStallTimeout: config.Duration(s.writeStall),
		},
	}
	encodeYAML(s.t, &set.KV.With, map[string]any{"endpoints": []string{"http://" + d.kv.Addr()}})
	encodeYAML(s.t, &set.VMList.With, map[string]any{"url": "http://" + s.vms.addr + "/vms"})
	for _, other := range s.daemons {
		set.Join = append(set.Join, other.peer.Addr())
	}
	d.file = filepath.Join(s.dir, d.id+".yaml")
	raw, err := yaml.Marshal(withoutEmptyValues(s.t, set))
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(d.file, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.daemons = append(s.daemons, d)
	s.mu.Lock()
	s.available = append(s.available[:len(s.available):len(s.available)], d)
	s.mu.Unlock()
	return d
}

// entryValidity is the time for which callers may cache entry addresses in tests.
const entryValidity = 2 * time.Second

func encodeYAML(t *testing.T, node *yaml.Node, v any) {
	t.Helper()
	if err := node.Encode(v); err != nil {
		t.Fatal(err)
	}
}

// withoutEmptyValues converts settings to YAML fields without the empty values, so that the daemon applies its
// defaults.
func withoutEmptyValues(t *testing.T, set settings.Settings) map[string]any {
	t.Helper()
	raw, err := yaml.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]any{}
	if err := yaml.Unmarshal(raw, &all); err != nil {
		t.Fatal(err)
	}
	removeEmpty(all)
	return all
}

func removeEmpty(m map[string]any) {
	for k, v := range m {
		switch v := v.(type) {
		case map[string]any:
			removeEmpty(v)
			if len(v) == 0 {
				delete(m, k)
			}
		case nil:
			delete(m, k)
		case string:
			if v == "" || v == "0s" || v == "0B" {
				delete(m, k)
			}
		case []any:
			if len(v) == 0 {
				delete(m, k)
			}
		}
	}
}

// startDaemon starts or restarts the process of a daemon.
func (s *system) startDaemon(d *daemon) {
	s.t.Helper()
	d.process = startProcess(s.t, s.dir, d.id, "serve", "-c", d.file)
	eventually(s.t, startTimeout, d.id+" listens", func() error {
		resp, err := http.Get("http://" + d.admin + "/metrics")
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
}

// config returns the configuration of the test system, in which endpoints have the addresses of their proxies.
func (s *system) config() *config.Config {
	quick := config.Class{Name: "quick", Tier: 1, FirstToken: config.Duration(1200 * time.Millisecond), BetweenTokens: config.Duration(34 * time.Millisecond), MaxWait: config.Duration(20 * time.Second)}
	long := config.Class{Name: "long", Tier: 3, Total: config.Duration(2 * time.Minute), Late: config.LateServe}
	c := &config.Config{
		Preset:     "ordinary",
		Presets:    []config.Preset{{Name: "ordinary", Classes: []config.Class{quick, long}}, {Name: "peak", Classes: []config.Class{quick, long}}},
		Pools:      []config.Pool{{Name: "judging", Kind: config.KindEngine, Model: "bonsai"}, {Name: "registry", Kind: config.KindPlain}},
		Routes:     []config.Route{{Path: "/bookings/", Pool: "registry", Class: "quick", NonIdempotent: []string{"POST"}}},
		Workspaces: []config.Workspace{{Name: "show", DefaultClass: "quick"}, {Name: "archive", DefaultClass: "long"}},
	}
	for i, e := range s.engines {
		c.Endpoints = append(c.Endpoints, config.Endpoint{ID: e.id, Pool: "judging", URL: "http://" + e.proxy.Addr(),
			Zone: zones[i%len(zones)], VM: "vm-" + e.id, MaxSlots: 16,
			Capabilities: []config.Capability{config.CapPriority, config.CapResume, config.CapLoad, config.CapCacheEvents}})
	}
	for i, p := range s.plains {
		c.Endpoints = append(c.Endpoints, config.Endpoint{ID: p.id, Pool: "registry", URL: "http://" + p.proxy.Addr(),
			Zone: zones[i%len(zones)], VM: "vm-" + p.id, MaxSlots: 32})
	}
	return c
}

// apply applies a configuration with the command-line tool and waits until it is active on every daemon.
func (s *system) apply(c *config.Config) {
	s.t.Helper()
	raw, err := yaml.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.dir, "config.yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	var change adminapi.Change
	eventually(s.t, startTimeout, "apply the configuration", func() error {
		return s.runCLI(s.daemons[0], &change, "config", "apply", file)
	})
	s.waitRevision(change.Revision)
}

// runCLI runs a command of the command-line tool against a daemon and decodes its JSON output into out, unless out
// is nil.
func (s *system) runCLI(d *daemon, out any, args ...string) error {
	cmd := exec.Command(binary, append([]string{"--admin", "http://" + d.admin, "-o", "json"}, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("chivewind %v: %w: %s", args, err, stderr.String())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(stdout.Bytes(), out)
}

// waitRevision waits until a revision, or a later one, is active on every daemon that has been started. It fails the
// test if that takes longer than maxConfigDelay for all of them together.
func (s *system) waitRevision(revision uint64) {
	s.t.Helper()
	deadline := time.Now().Add(maxConfigDelay)
	for _, d := range s.daemons {
		if d.process == nil {
			continue
		}
		c := adminapi.Client{Base: "http://" + d.admin}
		eventually(s.t, time.Until(deadline), fmt.Sprintf("revision %d in force on %s", revision, d.id), func() error {
			var got adminapi.Config
			sentAt := time.Now()
			if err := c.Get(withTimeout(s.t, time.Second), "/admin/v1/config", &got); err != nil {
				return err
			}
			s.log.addRevision(d.id, sentAt, got.Revision)
			if got.Revision < revision {
				return fmt.Errorf("revision %d", got.Revision)
			}
			return nil
		})
	}
}

// maxConfigDelay is the required maximum time until a configuration change is active on every daemon.
const maxConfigDelay = 10 * time.Second
