package ledger

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/cluster/clustertest"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/modules/kv/etcd"
)

// TestOverHTTP guards against a ledger that works only with the in-process client of the stand-in: it
// uses the etcd adapter over HTTP.
func TestOverHTTP(t *testing.T) {
	standin := kv.NewServer(kv.NewStore())
	server := httptest.NewServer(standin)
	defer server.Close()
	adapter := &etcd.KV{
		Endpoints: []string{server.URL}, Prefix: "test/",
		Timeout: config.Duration(time.Second), WatchTimeout: config.Duration(10 * time.Second),
	}
	if err := adapter.Provision(&chivewind.Context{}); err != nil {
		t.Fatal(err)
	}
	defer adapter.Stop(t.Context())
	l := New(Options{
		KV: adapter, Members: clustertest.NewMembers("a", "a"), Peers: clustertest.NewPeers(),
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	defer clustertest.Start(t.Context(), l.Run)()
	d := &daemon{Ledger: l, id: "a"}
	key := Key("w", "/r", "1")
	if got, _ := d.do(t.Context(), actBegin, key, "r1", "body"); got != begun {
		t.Fatalf("begin: %s", got)
	}
	standin.InjectWriteFault(1, kv.Fault{DropReply: true})
	if got, _ := d.do(t.Context(), actFinish, key, "r1", "body"); got != done {
		t.Errorf("finish with a lost reply: %s", got)
	}
	if got, record := d.do(t.Context(), actBegin, key, "r2", "body"); got != exists || string(record.GetAnswer()) != "answer of r1" {
		t.Errorf("begin after the finish: %s, %v", got, record)
	}
	standin.SetDown(true)
	if got, _ := d.do(t.Context(), actBegin, Key("w", "/r", "2"), "r3", "body"); got != unavailable && got != unknown {
		t.Errorf("begin during an outage: %s", got)
	}
	standin.SetDown(false)
}
