package entrynode

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	_ "github.com/chivewind/chivewind/platform/managed"
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

// TestFailedStartFreesAddresses guards against sockets that stay open after a daemon could not start, so that the next
// try in the same process fails as well.
func TestFailedStartFreesAddresses(t *testing.T) {
	store := standin.New()
	defer store.Close()
	for _, taken := range []string{"callers", "ready", "directory", "control", "reports"} {
		t.Run(taken, func(t *testing.T) {
			addresses := map[string]string{}
			for _, name := range []string{"callers", "ready", "directory", "control", "reports"} {
				addresses[name] = freeAddress(t)
			}
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
			s, err := settings.ParseEntry("test", fmt.Appendf(nil, `id: vm-1
zone: z
listen: {callers: "%s", ready: "%s", directory: "%s", control: "%s", reports: "%s"}
kv: {use: kv.managed, with: {address: "%s"}}
`, addresses["callers"], addresses["ready"], addresses["directory"], addresses["control"], addresses["reports"], store.Address()))
			if err != nil {
				t.Fatal(err)
			}
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
