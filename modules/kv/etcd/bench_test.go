package etcd

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
)

// BenchmarkCalls measures a write, which opens a new connection, and a read over loopback. The time includes
// that of the simulated service.
func BenchmarkCalls(b *testing.B) {
	server := httptest.NewServer(kv.NewServer(kv.NewStore()))
	defer server.Close()
	k := &KV{Endpoints: []string{server.URL}, Timeout: config.Duration(time.Second), WatchTimeout: config.Duration(time.Second)}
	if err := k.Provision(&chivewind.Context{}); err != nil {
		b.Fatal(err)
	}
	b.Run("write", func(b *testing.B) {
		txn := platform.Txn{Then: []platform.Op{{Key: "k", Value: make([]byte, 256)}}}
		for b.Loop() {
			if _, err := k.Txn(b.Context(), txn); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := k.Range(b.Context(), platform.RangeRequest{Key: "k"}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
