package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echoServer starts a server that echoes each byte and also sends it to received.
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

// exchange sends one byte and waits for its echo until a time-out.
func exchange(c net.Conn) error {
	const timeout = 300 * time.Millisecond
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestFaults guards against a proxy that does not inject the requested fault, so that a fault test
// would pass without one.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault Fault
		// openWorks and newWorks say whether an open and a new connection work; timesOut says that the
		// open connection times out instead of failing; arrives says that the server receives the byte.
		openWorks, newWorks, timesOut, arrives bool
	}{
		{desc: "none", openWorks: true, newWorks: true, arrives: true},
		{desc: "cut", fault: Fault{Cut: true}},
		{desc: "open connections silent", fault: Fault{StallOpen: true}, newWorks: true, timesOut: true},
		{desc: "replies lost", fault: Fault{DropReplies: true}, arrives: true},
		{desc: "one way to server", fault: Fault{DropToServer: true}, timesOut: true},
		{desc: "one way to client", fault: Fault{DropToClient: true}, timesOut: true, arrives: true},
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
			p.SetFault(tc.fault)
			err = exchange(open)
			if (err == nil) != tc.openWorks || errors.Is(err, os.ErrDeadlineExceeded) != tc.timesOut {
				t.Errorf("open connection: %v", err)
			}
			if got := len(received) > 0; got != tc.arrives {
				t.Errorf("server got the byte: %v, want %v", got, tc.arrives)
			}
			if err := exchangeNew(p); (err == nil) != tc.newWorks {
				t.Errorf("new connection: %v", err)
			}
		})
	}
}

// exchangeNew calls exchange on a new connection. With Fault.Cut, the dial itself may fail if the
// reset arrives early.
func exchangeNew(p *Proxy) error {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	return exchange(c)
}
