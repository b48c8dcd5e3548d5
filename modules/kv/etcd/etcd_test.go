package etcd

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/kv"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/platform/contract"
)

const (
	// testTimeout is long enough for a 1 MB request on a busy machine.
	testTimeout      = time.Second
	testWatchTimeout = 2500 * time.Millisecond
)

// newKV returns a KV with short timeouts. The simulated service reports progress every 2 s.
func newKV(t *testing.T, endpoints ...string) *KV {
	t.Helper()
	k := &KV{
		Endpoints: endpoints, Prefix: "test/",
		Timeout: config.Duration(testTimeout), WatchTimeout: config.Duration(testWatchTimeout),
	}
	if err := k.Validate(); err != nil {
		t.Fatal(err)
	}
	if err := k.Provision(&chivewind.Context{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	return k
}

func serve(t *testing.T) (*kv.Server, string) {
	t.Helper()
	standin := kv.NewServer(kv.NewStore())
	server := httptest.NewServer(standin)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return standin, server.URL
}

// TestContract guards against violations of the contract of platform.KV.
func TestContract(t *testing.T) {
	contract.TestKV(t, func(t *testing.T) *contract.KVFixture {
		standin, url := serve(t)
		return &contract.KVFixture{
			KV:               newKV(t, url),
			DropReply:        func(n int) { standin.InjectWriteFault(n, kv.Fault{DropReply: true}) },
			DropRequest:      func(n int) { standin.InjectWriteFault(n, kv.Fault{DropRequest: true}) },
			SetDown:          standin.SetDown,
			SetSilentWatch:   standin.SetSilentWatch,
			Writes:           func() int { return standin.Counters().Txns },
			Compact:          func() { standin.Store().Compact(standin.Store().Revision()) },
			SilentWatchLimit: testWatchTimeout,
		}
	})
}

// closedAddress returns a loopback URL with a port on which no server listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// TestEndpoints guards against a write that is sent to a second endpoint after it may have reached the
// first one, and against a write that fails although another endpoint is available.
func TestEndpoints(t *testing.T) {
	write := platform.Txn{Then: []platform.Op{{Key: "k", Value: []byte("v")}}}
	for _, c := range []struct {
		desc   string
		first  func(t *testing.T) string
		want   error
		second int
	}{
		{"first refuses connections", closedAddress, nil, 1},
		{"first loses the reply", func(t *testing.T) string {
			standin, url := serve(t)
			standin.InjectWriteFault(1, kv.Fault{DropReply: true})
			return url
		}, platform.ErrOutcomeUnknown, 0},
		{"first breaks connections", func(t *testing.T) string {
			standin, url := serve(t)
			standin.SetDown(true)
			return url
		}, platform.ErrOutcomeUnknown, 0},
		{"first hangs", func(t *testing.T) string {
			standin, url := serve(t)
			standin.SetHang(true)
			return url
		}, platform.ErrOutcomeUnknown, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			second, url := serve(t)
			k := newKV(t, c.first(t), url)
			if _, err := k.Txn(t.Context(), write); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if got := second.Counters().Txns; got != c.second {
				t.Errorf("the second endpoint got %d transactions, want %d", got, c.second)
			}
			k.failureCount.Store(0)
			if _, err := k.Range(t.Context(), platform.RangeRequest{Key: "k"}); err != nil {
				t.Errorf("read: %v", err)
			}
		})
	}
}

// TestReadAfterTwoSilentEndpoints guards against reads that never reach the third endpoint while two are unresponsive: a
// read that ran out of time counted failures of endpoints that it had not asked, so that the next one began with the
// first again.
func TestReadAfterTwoSilentEndpoints(t *testing.T) {
	var urls []string
	for range 2 {
		standin, url := serve(t)
		standin.SetHang(true)
		urls = append(urls, url)
	}
	_, healthy := serve(t)
	k := newKV(t, append(urls, healthy)...)
	if _, err := k.Range(t.Context(), platform.RangeRequest{Key: "k"}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("first read: %v, want ErrUnavailable", err)
	}
	if _, err := k.Range(t.Context(), platform.RangeRequest{Key: "k"}); err != nil {
		t.Errorf("second read: %v", err)
	}
}

// TestNoEndpoint guards against reporting a failed dial as an unknown outcome.
func TestNoEndpoint(t *testing.T) {
	k := newKV(t, closedAddress(t), closedAddress(t))
	_, err := k.Txn(t.Context(), platform.Txn{Then: []platform.Op{{Key: "k"}}})
	if !errors.Is(err, platform.ErrNotApplied) || errors.Is(err, platform.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrNotApplied", err)
	}
}

// TestAmbiguousRefusal guards against reporting a failure during replication as a rejected write.
func TestAmbiguousRefusal(t *testing.T) {
	for _, c := range []struct {
		desc string
		r    statusError
		want error
	}{
		{"request timed out", statusError{503, 14, "etcdserver: request timed out"}, platform.ErrOutcomeUnknown},
		{"deadline", statusError{504, 4, "context deadline exceeded"}, platform.ErrOutcomeUnknown},
		{"gateway without body", statusError{502, 0, ""}, platform.ErrOutcomeUnknown},
		{"no space", statusError{429, 8, "etcdserver: mvcc: database space exceeded"}, platform.ErrNotApplied},
		{"invalid", statusError{400, 3, "etcdserver: key is not provided"}, platform.ErrNotApplied},
	} {
		if err := classifyWrite(true, &c.r); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.desc, err, c.want)
		}
	}
}
