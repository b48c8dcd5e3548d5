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

// options describe the processes of a test.
type options struct {
	daemons int
	engines int
	plains  int
	// tokenTime and prefill are the engines' speed.
	tokenTime, prefill string
	// writeStall is the daemons' limit for a caller that accepts no bytes; 0 means the default.
	writeStall time.Duration
	// configure changes the configuration before it is applied.
	configure func(*config.Config)
}

// daemon is one chivewind process behind proxies.
type daemon struct {
	*process
	id      string
	file    string
	callers string
	admin   string
	// peer proxies what other daemons send to this one, kv what this one sends to the
	// key-value service.
	peer, kv *faultproxy.Proxy
}

// service is a stand-in process behind a proxy.
type service struct {
	*process
	id    string
	addr  string
	proxy *faultproxy.Proxy
}

// system is a set of real processes: stand-ins of the platform and of endpoints, and daemons.
type system struct {
	t    *testing.T
	dir  string
	seed uint64
	// writeStall is that of the options.
	writeStall time.Duration
	kv, vms    *service
	engines    []*service
	plains     []*service
	daemons    []*daemon
	log        *eventLog

	// mu guards known, the daemons that callers may use; daemons belongs to the test's goroutine.
	mu    sync.Mutex
	known []*daemon
}

// callable returns the daemons that callers may use.
func (s *system) callable() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// The zones of the test systems.
var zones = []string{"sapporo", "asahikawa", "hakodate"}

// startTime bounds the start of one process and of the whole system.
const startTime = 15 * time.Second

// newSystem starts all processes, applies the configuration and waits until it is in force.
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
	eventually(s.t, startTime, id+" listens", func() error {
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

// addDaemon writes the settings of one more daemon.
func (s *system) addDaemon() *daemon {
	s.t.Helper()
	n := len(s.daemons)
	local := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(s.t)) }
	peerAddr := local()
	d := &daemon{id: fmt.Sprintf("d%d", n+1), callers: local(), admin: local(), peer: s.newProxy(peerAddr), kv: s.newProxy(s.kv.addr)}
	set := settings.Settings{
		ID: d.id, Zone: zones[n%len(zones)], Region: "hokkaido",
		Listen: settings.Listen{Callers: d.callers, Admin: d.admin, Peer: peerAddr, PeerAdvertise: d.peer.Addr()},
		KV:     settings.Module{Use: "kv.etcd"},
		VMList: settings.Module{Use: "vmlist.http"},
		// A short validity keeps graceful stops short; the order of the steps is the same.
		Limits: settings.Limits{EntryValidity: config.Duration(entryValidity), WriteStall: config.Duration(s.writeStall)},
	}
	encode(s.t, &set.KV.With, map[string]any{"endpoints": []string{"http://" + d.kv.Addr()}})
	encode(s.t, &set.VMList.With, map[string]any{"url": "http://" + s.vms.addr + "/vms"})
	for _, other := range s.daemons {
		set.Join = append(set.Join, other.peer.Addr())
	}
	d.file = filepath.Join(s.dir, d.id+".yaml")
	raw, err := yaml.Marshal(withoutDefaults(s.t, set))
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(d.file, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.daemons = append(s.daemons, d)
	s.mu.Lock()
	s.known = append(s.known[:len(s.known):len(s.known)], d)
	s.mu.Unlock()
	return d
}

// entryValidity is how long callers keep entry addresses in tests.
const entryValidity = 2 * time.Second

func encode(t *testing.T, node *yaml.Node, v any) {
	t.Helper()
	if err := node.Encode(v); err != nil {
		t.Fatal(err)
	}
}

// withoutDefaults drops empty values, so that the daemon fills in its defaults.
func withoutDefaults(t *testing.T, set settings.Settings) map[string]any {
	t.Helper()
	raw, err := yaml.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]any{}
	if err := yaml.Unmarshal(raw, &all); err != nil {
		t.Fatal(err)
	}
	prune(all)
	return all
}

func prune(m map[string]any) {
	for k, v := range m {
		switch v := v.(type) {
		case map[string]any:
			prune(v)
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

// startDaemon starts the process of a daemon, also again after it ended.
func (s *system) startDaemon(d *daemon) {
	s.t.Helper()
	d.process = startProcess(s.t, s.dir, d.id, "serve", "-c", d.file)
	eventually(s.t, startTime, d.id+" listens", func() error {
		resp, err := http.Get("http://" + d.admin + "/metrics")
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
}

// config is the configuration of the test systems; endpoints are reached through their proxies.
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

// apply puts a configuration in force with the command line.
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
	eventually(s.t, startTime, "apply the configuration", func() error {
		return s.cli(s.daemons[0], &change, "config", "apply", file)
	})
	s.waitRevision(change.Revision)
}

// cli runs a command of the command line against a daemon and decodes its JSON output.
func (s *system) cli(d *daemon, out any, args ...string) error {
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

// waitRevision waits until a revision is in force on every running daemon, within the bound of the
// requirements.
func (s *system) waitRevision(revision uint64) {
	s.t.Helper()
	for _, d := range s.daemons {
		if d.process == nil {
			continue
		}
		c := adminapi.Client{Base: "http://" + d.admin}
		eventually(s.t, configBound, fmt.Sprintf("revision %d in force on %s", revision, d.id), func() error {
			var got adminapi.Config
			asked := time.Now()
			if err := c.Get(withTimeout(s.t, time.Second), "/admin/v1/config", &got); err != nil {
				return err
			}
			s.log.revision(d.id, asked, got.Revision)
			if got.Revision < revision {
				return fmt.Errorf("revision %d", got.Revision)
			}
			return nil
		})
	}
}

// configBound is the requirement for the time until a change is in force everywhere.
const configBound = 10 * time.Second
