package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// writeEndless writes a start and then repeats a block until the connection is closed. It returns the bytes written.
func writeEndless(w net.Conn, start string, block []byte) int {
	written, err := io.WriteString(w, start)
	for err == nil {
		var n int
		n, err = w.Write(block)
		written += n
	}
	return written
}

// TestTroubleEndlessAnswer guards against an endpoint whose answer has no end: the request must end by its route's
// timeout without looking complete, and the answers must not fill the memory.
func TestTroubleEndlessAnswer(t *testing.T) {
	const timeoutMs = 700
	head := func(r *http.Request, more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n%s\r\n", r.Header.Get("Attempt-Id"), more)
	}
	text := bytes.Repeat([]byte("x"), 64<<10)
	for _, c := range []struct {
		desc, path, header, start string
		block                     []byte
		// early is set if the answer can be given up before the timeout, because no valid answer is that long.
		early bool
	}{
		{"event", "/stream/1", "", "id: 1\ndata: ", text, true},
		{"event of a resumable stream", "/resume/1", "", "id: 1\ndata: ", text, true},
		{"body without a length", "/once/1", "", "", text, false},
		{"chunk size", "/once/1", "Transfer-Encoding: chunked\r\n", "", bytes.Repeat([]byte("0"), 4096), true},
		{"chunk extension", "/stream/1", "Transfer-Encoding: chunked\r\n", "5;", text, true},
		{"trailer", "/once/1", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n", bytes.Repeat([]byte("A: b\r\n"), 4096), true},
		{"header", "/once/1", strings.Repeat("A: b\r\n", 1<<14), "", text, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeEndless(w, head(r, c.header)+c.start, c.block) })
			s := startSystem(t, timeoutMs, e)
			start := time.Now()
			got := s.call(t, c.path)
			took := time.Since(start)
			if !got.cut && got.status < 500 {
				t.Errorf("status %d, cut %v: the answer looks complete", got.status, got.cut)
			}
			if got.status == http.StatusServiceUnavailable {
				t.Error("the caller was told that the request has not run")
			}
			if limit := timeoutMs * time.Millisecond; c.early && took > limit {
				t.Errorf("ended after %s, want before the timeout of %s", took, limit)
			}
		})
	}
}

// TestTroubleEndlessAnswerBesideOthers guards against endless answers that delay other callers of the same daemon.
func TestTroubleEndlessAnswerBesideOthers(t *testing.T) {
	const endless, calls = 20, 20
	serve := func(_ int, w net.Conn, r *http.Request) {
		if r.URL.Path == "/once/endless" {
			writeEndless(w, "HTTP/1.1 200 ", bytes.Repeat([]byte("x"), 64<<10))
			return
		}
		writeResponse(w, r, 200, "ok")
	}
	s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", serve))
	ended := make(chan reply, endless)
	for range endless {
		go func() { ended <- s.call(t, "/once/endless") }()
	}
	for range calls {
		if got := s.call(t, "/once/1"); got.status != 200 && got.status != 502 && got.status != 503 {
			t.Errorf("status %d beside endless answers", got.status)
		}
	}
	for range endless {
		if got := <-ended; got.status == 200 {
			t.Error("an endless header was delivered as an answer")
		}
	}
}

// TestTroubleSlowBodyOfCaller guards against a caller that sends its body a byte at a time and holds memory and a
// connection for as long as it likes. Nothing has run then, and the caller is told so.
func TestTroubleSlowBodyOfCaller(t *testing.T) {
	const timeoutMs = 500
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "ok") })
	s := startSystem(t, timeoutMs, e)
	c, err := net.Dial("tcp", s.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k1\r\nContent-Length: 1000\r\n\r\n")
	go func() {
		for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer := make([]byte, len("HTTP/1.1 408"))
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "HTTP/1.1 408" {
		t.Errorf("got %q, %v; want 408", answer, err)
	}
	if totalRequests(e) != 0 {
		t.Error("an incomplete request was sent to an endpoint")
	}
}

// TestTroubleEndlessAnswersMemory guards against answers without an end that fill the memory of the smallest VM, which
// would take the daemon with all of its requests down.
func TestTroubleEndlessAnswersMemory(t *testing.T) {
	const (
		connections = 200
		timeoutMs   = 3000
		// vmMemory is the memory of the smallest VM, of which the daemon uses 0.6 for its heap.
		vmMemory = 112 << 20
		limit    = vmMemory * 6 / 10
	)
	block := bytes.Repeat([]byte("x"), 900<<10)
	for _, c := range []struct{ desc, path, start string }{
		{"events", "/stream/1", "id: 1\ndata: "},
		{"bodies without a length", "/once/1", ""},
	} {
		e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n\r\n%s", r.Header.Get("Attempt-Id"), c.start)
			_, _ = w.Write(block)
			// The rest of the answer never comes.
			_, _ = w.Read(make([]byte, 1))
		})
		s := startSystem(t, timeoutMs, e)
		runtime.GC()
		previous := debug.SetMemoryLimit(limit)
		before := heapBytes()
		ended := make(chan struct{}, connections)
		for range connections {
			go func() {
				// Nothing reads the answer, so the daemon cannot pass it on.
				conn, err := net.Dial("tcp", s.httpServer.Listener.Addr().String())
				if err == nil {
					fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n", c.path)
					time.Sleep(timeoutMs * time.Millisecond)
					_ = conn.Close()
				}
				ended <- struct{}{}
			}()
		}
		peak := uint64(0)
		for range 20 {
			time.Sleep(timeoutMs * time.Millisecond / 20)
			peak = max(peak, heapBytes())
		}
		for range connections {
			<-ended
		}
		debug.SetMemoryLimit(previous)
		used := max(peak, before) - before
		t.Logf("%s: %d MB for %d connections", c.desc, used>>20, connections)
		if used > limit {
			t.Errorf("%s: %d MB for %d connections, want at most %d MB", c.desc, used>>20, connections, limit>>20)
		}
	}
}

// heapBytes returns the size of the objects on the heap that the latest garbage collection found in use, or newer.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
