package entrynode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/platform/managed"
	"github.com/chivewind/chivewind/platform/managed/standin"
	"github.com/chivewind/chivewind/settings"
)

// freeAddress returns an address that is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		packets, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
	t.Fatal("no free address")
	return ""
}

// isFree reports whether an address can be bound for TCP and UDP.
func isFree(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	defer l.Close()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return packets.Close()
}

// parseSettings returns the settings of a daemon with the given addresses to listen on.
func parseSettings(t *testing.T, addresses map[string]string, store *standin.Store) *settings.Entry {
	t.Helper()
	s, err := settings.ParseEntry("test", fmt.Appendf(nil, `id: vm-1
zone: z
listen: {callers: "%s", ready: "%s", directory: "%s", control: "%s", reports: "%s"}
kv: {use: kv.managed, with: {address: "%s"}}
`, addresses["callers"], addresses["ready"], addresses["directory"], addresses["control"], addresses["reports"], store.Address()))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// listeners are the names of the addresses on which a daemon listens.
var listeners = []string{"callers", "ready", "directory", "control", "reports"}

// freeAddresses returns a free address for each listener.
func freeAddresses(t *testing.T) map[string]string {
	addresses := map[string]string{}
	for _, name := range listeners {
		addresses[name] = freeAddress(t)
	}
	return addresses
}

// TestFailedStartFreesAddresses guards against sockets that stay open after a daemon could not start, so that the next
// try in the same process fails as well.
func TestFailedStartFreesAddresses(t *testing.T) {
	store := standin.New()
	defer store.Close()
	for _, taken := range listeners {
		t.Run(taken, func(t *testing.T) {
			addresses := freeAddresses(t)
			occupied, err := net.Listen("tcp4", addresses[taken])
			if err != nil {
				t.Fatal(err)
			}
			defer occupied.Close()
			if taken == "reports" {
				packets, err := net.ListenPacket("udp4", addresses[taken])
				if err != nil {
					t.Fatal(err)
				}
				defer packets.Close()
			}
			s := parseSettings(t, addresses, store)
			n, err := New(s, hclog.NewNullLogger())
			if err == nil {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				err = n.Run(ctx)
			}
			if err == nil {
				t.Fatal("started although an address is taken")
			}
			for name, address := range addresses {
				if name == taken {
					continue
				}
				if err := isFree(address); err != nil {
					t.Errorf("the address for %s is still in use: %v", name, err)
				}
			}
		})
	}
}

const (
	// unreadyBound is the time after the start of a stop from which a daemon must not be ready. The stated bound is 4 s.
	unreadyBound = time.Second
	// testTimeout bounds what a test waits for. It allows for a heavily loaded machine.
	testTimeout = 20 * time.Second
	probePause  = 10 * time.Millisecond
)

// isReady probes the readiness of a daemon.
func isReady(address string) bool {
	resp, err := http.Get("http://" + address + strings.TrimPrefix(managed.PatternReady, "GET "))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// TestNotReadyWhileStopping guards against a daemon that is stopped and goes on to count as ready, or does so again, also
// if it is stopped just as it becomes ready.
func TestNotReadyWhileStopping(t *testing.T) {
	for _, untilReady := range []bool{true, false} {
		t.Run(fmt.Sprint("ready before ", untilReady), func(t *testing.T) {
			store := standin.New()
			defer store.Close()
			addresses := freeAddresses(t)
			n, err := New(parseSettings(t, addresses, store), hclog.NewNullLogger())
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- n.Run(ctx) }()
			putTable := func() {
				store.Put("op/config", []byte(`{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/","route_kind":"safe","service":"s","max_attempts":1,"timeout_ms":1000}],"services":[{"name":"s"}]}`))
			}
			if untilReady {
				putTable()
				for start := time.Now(); !isReady(addresses["ready"]); <-time.After(probePause) {
					if time.Since(start) > testTimeout {
						t.Fatal("not ready")
					}
				}
			}
			cancel()
			putTable()
			stopped := time.Now()
			for {
				select {
				case err := <-ended:
					if err != nil {
						t.Error(err)
					}
					return
				case <-time.After(probePause):
				}
				if isReady(addresses["ready"]) && time.Since(stopped) > unreadyBound {
					t.Fatalf("ready %s after the start of the stop", time.Since(stopped))
				}
			}
		})
	}
}
