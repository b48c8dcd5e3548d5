package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echoServer answers each byte; it counts the bytes that it received.
func echoServer(t *testing.T) (addr string, received chan byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received = make(chan byte, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					received <- b[0]
					c.Write(b)
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// exchange sends one byte and reads the echo within a bound.
func exchange(c net.Conn) error {
	const bound = 300 * time.Millisecond
	c.SetDeadline(time.Now().Add(bound))
	if _, err := c.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestFaults guards against a proxy that does not inject what a fault test asks for: such a test
// would pass without its fault.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault Fault
		// open and fresh say whether an open and a new connection work; silent says that the
		// open connection times out instead of failing; arrives says that the server got the byte.
		open, fresh, silent, arrives bool
	}{
		{desc: "none", open: true, fresh: true, arrives: true},
		{desc: "cut", fault: Fault{Cut: true}},
		{desc: "open connections silent", fault: Fault{SilenceOpen: true}, fresh: true, silent: true},
		{desc: "replies lost", fault: Fault{LoseReplies: true}, arrives: true},
		{desc: "one way to server", fault: Fault{DropToServer: true}, silent: true},
		{desc: "one way to client", fault: Fault{DropToClient: true}, silent: true, arrives: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			target, received := echoServer(t)
			p, err := New(target, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			open, err := net.Dial("tcp", p.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer open.Close()
			if err := exchange(open); err != nil {
				t.Fatal(err)
			}
			<-received
			p.Set(tc.fault)
			err = exchange(open)
			if (err == nil) != tc.open || errors.Is(err, os.ErrDeadlineExceeded) != tc.silent {
				t.Errorf("open connection: %v", err)
			}
			if got := len(received) > 0; got != tc.arrives {
				t.Errorf("server got the byte: %v, want %v", got, tc.arrives)
			}
			if err := exchangeNew(p); (err == nil) != tc.fresh {
				t.Errorf("new connection: %v", err)
			}
		})
	}
}

// exchangeNew exchanges over a new connection. The reset of a cut can reach the caller during the
// dial already.
func exchangeNew(p *Proxy) error {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	return exchange(c)
}
