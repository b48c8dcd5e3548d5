package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestTroubleEndlessBytes guards against a daemon that keeps what faulty endpoints send without end, until it runs out of
// memory and all its requests are lost.
func TestTroubleEndlessBytes(t *testing.T) {
	const (
		timeoutMs = 700
		requests  = 16
		// maxBytesEach is the memory that one of the requests may take: the response buffer twice, as it grows by
		// doubling, an event buffer, and those of the connections.
		maxBytesEach = 1 << 20
	)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	block := strings.Repeat("x", 32<<10)
	for _, c := range []struct{ desc, path, start, repeated string }{
		{"no protocol", "/once/1", "", block},
		{"head", "/once/1", head + "A: ", block},
		{"headers", "/once/1", head, strings.Repeat("A: b\r\n", 4096)},
		{"informational answers", "/once/1", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1024)},
		{"body without a length", "/safe/1", head + "\r\n", block},
		{"one chunk", "/safe/1", chunked + "7fffffffffff\r\n", block},
		{"size of a chunk", "/once/1", chunked + "1;x=", block},
		{"empty chunks of extensions", "/once/1", chunked, strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\nx\r\n", 16)},
		{"trailer", "/once/1", chunked + "0\r\nA: ", block},
		{"answers of others", "/once/1", "", strings.Repeat("HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nContent-Length: 0\r\n\r\n", 512)},
		{"answer of another", "/once/1", "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\n\r\n", block},
		{"event", "/stream/1", chunked + "7fffffffffff\r\ndata: ", block},
		{"event of a resumable stream", "/resume/1", chunked + "7fffffffffff\r\ndata: ", block},
		{"comments", "/stream/1", chunked + "7fffffffffff\r\n", strings.Repeat(":\n", 16<<10)},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var sent atomic.Int64
			// The endpoints of the test allocate nothing while they write, since they share the heap with the daemon.
			repeated := []byte(c.repeated)
			e := startEndpoint(t, "1", func(_ int, w net.Conn, _ *http.Request) {
				_, _ = io.WriteString(w, c.start)
				for {
					n, err := w.Write(repeated)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			s := startSystem(t, timeoutMs, e)
			runtime.GC()
			before := heapBytes()
			most := before
			var calls sync.WaitGroup
			for range requests {
				calls.Go(func() { s.discard(c.path) })
			}
			done := make(chan struct{})
			go func() {
				calls.Wait()
				close(done)
			}()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				runtime.GC()
				most = max(most, heapBytes())
			}
			if used := most - before; used > requests*maxBytesEach {
				t.Errorf("%d requests took %d bytes of memory; the endpoints sent %d", requests, used, sent.Load())
			}
		})
	}
}

// discard sends a request and reads its response without keeping it.
func (s *system) discard(path string) {
	conn, err := net.Dial("tcp4", s.httpServer.Listener.Addr().String())
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path)
	_, _ = io.Copy(io.Discard, conn)
}
