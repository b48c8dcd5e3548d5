package integration

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/internal/certs/certstest"
	"github.com/chivewind/chivewind/settings"
)

// secureDaemon is a daemon with TLS on all its listeners.
type secureDaemon struct {
	callers, admin, peer string
}

// startSecure starts a daemon with a certificate issued by an authority and with a cluster key.
func (s *system) startSecure(a *certstest.Authority, id, keyFile string, join []string) secureDaemon {
	s.t.Helper()
	newAddress := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(s.t)) }
	d := secureDaemon{callers: newAddress(), admin: newAddress(), peer: newAddress()}
	cert, key, _ := a.Issue(id)
	set := settings.Settings{
		ID: id, Zone: zones[0], Join: join, ClusterKeyFile: keyFile,
		Listen: settings.Listen{Callers: d.callers, Admin: d.admin, Peer: d.peer},
		KV:     settings.Module{Use: "kv.etcd"}, VMList: settings.Module{Use: "vmlist.http"},
		TLS: settings.TLS{CertFile: cert, KeyFile: key, PeerCertFile: cert, PeerKeyFile: key, PeerCAFile: a.File},
	}
	encodeYAML(s.t, &set.KV.With, map[string]any{"endpoints": []string{"http://" + s.kv.addr}})
	encodeYAML(s.t, &set.VMList.With, map[string]any{"url": "http://" + s.vms.addr + "/vms"})
	raw, err := yaml.Marshal(withoutEmptyValues(s.t, set))
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.dir, id+".yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	startProcess(s.t, s.dir, id, "serve", "-c", file)
	return d
}

// TestTLS guards against daemons that cannot communicate over TLS, and against a daemon with a certificate of another
// authority and another cluster key that becomes a member.
func TestTLS(t *testing.T) {
	t.Parallel()
	s := &system{t: t, dir: t.TempDir(), seed: 1, log: newEventLog(t)}
	s.kv = s.startService("kv", "standin", "kv")
	s.vms = s.startService("vmlist", "standin", "vmlist")
	s.engines = append(s.engines, s.startService("engine-1", "standin", "engine", "--model", "bonsai"))
	ours, others := certstest.New(t, s.dir, "ours"), certstest.New(t, s.dir, "others")
	key, otherKey := filepath.Join(s.dir, "cluster.key"), filepath.Join(s.dir, "other.key")
	for file, content := range map[string]string{key: "0123456789abcdef", otherKey: "fedcba9876543210"} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first := s.startSecure(ours, "d1", key, nil)
	second := s.startSecure(ours, "d2", key, []string{first.peer})
	s.startSecure(others, "intruder", otherKey, []string{first.peer, second.peer})

	raw, err := yaml.Marshal(s.config())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(s.dir, "config.yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	runCLI := func(args ...string) ([]byte, error) {
		args = append([]string{"--admin", "https://" + second.admin, "--ca-file", ours.File, "-o", "json"}, args...)
		out, err := exec.Command(binary, args...).Output()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			err = fmt.Errorf("%w: %s", err, exit.Stderr)
		}
		return out, err
	}
	eventually(t, startTimeout, "apply the configuration", func() error { _, err := runCLI("config", "apply", file); return err })
	eventually(t, startTimeout, "both daemons see each other and the configuration", func() error {
		out, err := runCLI("status")
		if err != nil {
			return err
		}
		var status adminapi.Status
		if err := json.Unmarshal(out, &status); err != nil {
			return err
		}
		if len(status.Daemons) != 2 || status.Daemons[0].Revision != 1 || status.Daemons[1].Revision != 1 {
			return fmt.Errorf("%+v", status.Daemons)
		}
		return nil
	})
	for _, d := range []secureDaemon{first, second} {
		chatOverTLS(t, ours.File, d)
	}
	out, err := runCLI("status")
	if err != nil || strings.Contains(string(out), "intruder") {
		t.Errorf("a daemon of another authority is a member: %s, %v", out, err)
	}
}

// chatOverTLS sends a chat completion and checks the certificate and the outcome.
func chatOverTLS(t *testing.T, caFile string, d secureDaemon) {
	t.Helper()
	pem, err := os.ReadFile(caFile)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	body := `{"model":"bonsai","messages":[{"role":"user","content":"length=5"}]}`
	req, err := http.NewRequestWithContext(withTimeout(t, requestTimeout), http.MethodPost, "https://"+d.callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Chivewind-Workspace", "show")
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Chivewind-Outcome") != "completed" {
		t.Errorf("status %s, outcome %q", resp.Status, resp.Header.Get("X-Chivewind-Outcome"))
	}
}
