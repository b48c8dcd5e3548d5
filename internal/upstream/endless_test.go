package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestTroubleEndlessHead guards against an endpoint that sends a response header without an end: reading it until the
// request's deadline would fill the memory of the VM. The request counts as sent, since the endpoint may run it.
func TestTroubleEndlessHead(t *testing.T) {
	for _, c := range []struct{ desc, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header value", "HTTP/1.1 200 OK\r\nId: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"no protocol", "", "\x00\x01"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			address := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				block := bytes.Repeat([]byte(c.repeated), 4096)
				for _, err := conn.Write([]byte(c.start)); err == nil; {
					_, err = conn.Write(block)
				}
			})
			read := &atomic.Int64{}
			client := newTestClient(t)
			client.dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return countingConn{conn, read}, err
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, err := client.Send(ctx, address, request("r"))
			var failure *Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Errorf("got %v, want an error of a request that was sent", err)
			}
			if n := read.Load(); n > maxHeadBytes {
				t.Errorf("%d bytes read, want at most %d", n, maxHeadBytes)
			}
		})
	}
}

// TestLargeBodyAfterHead guards against applying the limit of the header to the body.
func TestLargeBodyAfterHead(t *testing.T) {
	body := string(bytes.Repeat([]byte("x"), 3*maxHeadBytes))
	address := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			if _, err := conn.Write([]byte(response(req.Header.Get("X-Id"), body))); err != nil {
				return
			}
		}
	})
	client := newTestClient(t)
	for range 2 {
		r := request("r")
		r.Header.Set("X-Id", "r")
		resp, err := client.Send(context.Background(), address, r)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if _, err := got.ReadFrom(resp); err != nil || got.String() != body {
			t.Errorf("%d bytes, %v", got.Len(), err)
		}
	}
}
