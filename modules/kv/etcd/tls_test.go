package etcd

import (
	"encoding/pem"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
)

// TestTLS guards against accepting a service without a valid certificate, and against reporting a failed
// handshake as an unknown outcome.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(kv.NewServer(kv.NewStore()))
	defer server.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(ca, block, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		desc string
		ca   string
		want error
	}{{"known authority", ca, nil}, {"unknown authority", "", platform.ErrNotApplied}} {
		k := &KV{
			Endpoints: []string{server.URL}, CAFile: c.ca,
			Timeout: config.Duration(time.Second), WatchTimeout: config.Duration(time.Second),
		}
		if err := k.Provision(&chivewind.Context{}); err != nil {
			t.Fatal(err)
		}
		defer k.Stop(t.Context())
		_, err := k.Txn(t.Context(), platform.Txn{Then: []platform.Op{{Key: "k", Value: []byte("v")}}})
		if !errors.Is(err, c.want) || errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Errorf("%s: %v, want %v", c.desc, err, c.want)
		}
	}
}

// TestSettings guards against settings that are ignored, and against invalid settings that are accepted.
func TestSettings(t *testing.T) {
	for _, c := range []struct {
		desc  string
		yaml  string
		valid bool
	}{
		{"minimal", "endpoints: [http://127.0.0.1:2379]", true},
		{"all", "{endpoints: [https://127.0.0.1:2379], timeout: 1s, watch_timeout: 5s, prefix: chivewind/}", true},
		{"no endpoint", "{}", false},
		{"no URL", "endpoints: [127.0.0.1:2379]", false},
		{"unknown field", "{endpoints: [http://127.0.0.1:2379], user: x}", false},
		{"certificate without key", "{endpoints: [http://127.0.0.1:2379], cert_file: x}", false},
		{"missing file", "{endpoints: [https://127.0.0.1:2379], ca_file: /nonexistent}", false},
	} {
		var node yaml.Node
		if err := yaml.Unmarshal([]byte(c.yaml), &node); err != nil {
			t.Fatal(err)
		}
		m, err := chivewind.Load(&chivewind.Context{}, "kv.etcd", &node)
		if (err == nil) != c.valid {
			t.Errorf("%s: %v", c.desc, err)
		}
		if c.desc == "minimal" && m.(*KV).Timeout.D() != defaultTimeout {
			t.Errorf("default timeout %s", m.(*KV).Timeout.D())
		}
	}
}
