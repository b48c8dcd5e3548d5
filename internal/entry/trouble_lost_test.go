package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// lostAnswer says how an endpoint breaks off an exchange: after it has read a number of bytes of the request, or after it
// has read all and written a number of bytes of the answer.
type lostAnswer struct {
	readBytes, writtenBytes int
	how                     string
}

// brokenEndpoint is an endpoint that breaks off every exchange.
type brokenEndpoint struct {
	*endpoint
	// received counts the bytes read, and runs the requests that were read completely.
	received, runs atomic.Int64
}

// startBrokenEndpoint starts an endpoint that breaks off exchanges. It reads whole requests if readBytes is negative.
func startBrokenEndpoint(t *testing.T, id string, c lostAnswer) *brokenEndpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		_ = l.Close()
	})
	b := &brokenEndpoint{endpoint: &endpoint{id: id, address: l.Addr().String()}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.breakOff(conn.(*net.TCPConn), c, done)
		}
	}()
	return b
}

// breakOff reads a request, runs it if it is complete, and ends the exchange as c says.
func (b *brokenEndpoint) breakOff(conn *net.TCPConn, c lostAnswer, done <-chan struct{}) {
	defer conn.Close()
	var request []byte
	buffer := make([]byte, 1)
	for c.readBytes < 0 || len(request) < c.readBytes {
		n, err := conn.Read(buffer)
		request = append(request, buffer[:n]...)
		b.received.Add(int64(n))
		if err != nil {
			return
		}
		// The caller's body is the word "body".
		if bytes.HasSuffix(request, []byte("\r\n\r\nbody")) {
			b.runs.Add(1)
			break
		}
	}
	if c.readBytes < 0 {
		answer := "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 6\r\nAttempt-Id: a1\r\n\r\nanswer"
		_, _ = io.WriteString(conn, answer[:min(c.writtenBytes, len(answer))])
	}
	switch c.how {
	case "reset":
		_ = conn.SetLinger(0)
	case "silence":
		<-done
	case "wrong bytes":
		_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
	case "error of a proxy":
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
}

// TestTroubleLostAnswer guards against work that runs again after its answer was lost, and against telling the caller that
// it has not run, wherever the exchange with the endpoint breaks off.
func TestTroubleLostAnswer(t *testing.T) {
	const timeoutMs = 400
	var cases []lostAnswer
	for _, how := range []string{"close", "reset", "silence", "wrong bytes", "error of a proxy"} {
		for _, n := range []int{0, 1, 16, 60, 150} {
			cases = append(cases, lostAnswer{readBytes: n, how: how})
		}
		for _, n := range []int{0, 1, 9, 30, 60, 79} {
			// An endpoint's wrong bytes within an answer whose length is right cannot be told from right ones.
			if n == 0 || (how != "wrong bytes" && how != "error of a proxy") {
				cases = append(cases, lostAnswer{readBytes: -1, writtenBytes: n, how: how})
			}
		}
	}
	for _, path := range []string{"/once/1", "/stream/1", "/safe/1"} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s/%s after %d and %d bytes", path[1:], c.how, c.readBytes, c.writtenBytes), func(t *testing.T) {
				t.Parallel()
				endpoints := []*brokenEndpoint{startBrokenEndpoint(t, "1", c), startBrokenEndpoint(t, "2", c)}
				s := startSystem(t, timeoutMs, endpoints[0].endpoint, endpoints[1].endpoint)
				got := s.call(t, path)
				time.Sleep(20 * time.Millisecond)
				received, runs := int64(0), int64(0)
				for _, e := range endpoints {
					received += e.received.Load()
					runs += e.runs.Load()
				}
				if runs > 1 && !strings.HasPrefix(path, "/safe/") {
					t.Errorf("ran %d times", runs)
				}
				if got.status == http.StatusServiceUnavailable && received > 0 {
					t.Errorf("the caller was told that the request has not run, after %d bytes and %d runs", received, runs)
				}
				if got.status == http.StatusOK && !got.cut && got.body != "answer" {
					t.Errorf("an incomplete answer looks complete: %q", got.body)
				}
			})
		}
	}
}
