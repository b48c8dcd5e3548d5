package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxSkippedResponses bounds the answers to other requests that are skipped before the expected one.
	maxSkippedResponses = 4
	// maxSkippedBody bounds the body of a skipped answer, in bytes.
	maxSkippedBody = 1 << 20
	// requestWriteGrace is how long the rest of a request may take to be written after its answer has ended. The
	// connection is closed after it.
	requestWriteGrace = 50 * time.Millisecond
	readBufferSize    = 4 << 10
)

// errUnsent marks failures of a write of which no byte left.
var errUnsent = errors.New("nothing was written")

// conn is one connection, used for one request at a time.
type conn struct {
	raw         net.Conn
	reader      *bufio.Reader
	reused      bool
	idleTimeout time.Duration
	usableUntil time.Time
	closeOnce   sync.Once
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), idleTimeout: defaultIdleTimeout}
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.raw.Close() }) }

// healthy says whether an idle connection is open and without unexpected bytes.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// exchange writes a request and reads the head of its answer. sent says whether a byte of the request may
// have arrived.
func (c *conn) exchange(r *Request, recognize Recognizer) (resp *Response, sent bool, err error) {
	writeResult := make(chan error, 1)
	message := r.encode()
	if len(message) <= readBufferSize {
		// A message that fits into the socket's buffer needs no goroutine of its own.
		writeResult <- c.write(message)
	} else {
		// The endpoint may answer before it has read the whole body.
		go func() { writeResult <- c.write(message) }()
	}
	for range maxSkippedResponses {
		head, err := c.readHead(r)
		if err != nil {
			return nil, c.closeAndCheckSent(writeResult), err
		}
		if got := recognize(head.StatusCode, head.Header); !matchesAttempt(got.Attempt, r.Attempt, head.StatusCode) {
			if n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBody)); err != nil || n == maxSkippedBody {
				return nil, true, fmt.Errorf("answer of another request: %w", errors.Join(err, io.ErrUnexpectedEOF))
			}
			continue
		}
		return c.newResponse(head, writeResult), true, nil
	}
	return nil, true, errors.New("only answers of other requests arrived")
}

// matchesAttempt says whether an answer is the one to the request. Only refusals may come without an id.
func matchesAttempt(got, want string, status int) bool {
	if got == "" {
		return want == "" || status >= http.StatusMultipleChoices
	}
	return got == want
}

// closeAndCheckSent says whether the endpoint may have received a part of the request after reading failed.
func (c *conn) closeAndCheckSent(writeResult <-chan error) bool {
	c.close()
	return !errors.Is(<-writeResult, errUnsent)
}

func (c *conn) write(message []byte) error {
	n, err := c.raw.Write(message)
	if err != nil && n == 0 {
		return errors.Join(errUnsent, err)
	}
	return err
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

func (c *conn) newResponse(head *http.Response, writeResult <-chan error) *Response {
	// An answer without a length ends with its connection.
	closeDelimited := head.ContentLength < 0 && len(head.TransferEncoding) == 0
	c.idleTimeout = keepAliveTimeout(head.Header)
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength,
		Leaving: head.Close && !closeDelimited, body: head.Body, reader: c.reader, writeResult: writeResult,
		reusable: !head.Close && !closeDelimited && head.ProtoAtLeast(1, 1),
	}
}

// keepAliveTimeout returns how long a connection may stay idle by the endpoint's Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// encode returns the request as it is written.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a bytes.Buffer accepts every write
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Response is the answer to a request. Its body must be read to the end or closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 when it is not stated.
	Length int64
	// Leaving says that the endpoint closes the connection after this answer although it has a length.
	Leaving bool

	body        io.ReadCloser
	reader      *bufio.Reader
	writeResult <-chan error
	reusable    bool
	release     func(reusable bool)
	done        bool
}

// Read reads the body. io.EOF means that the answer is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.finish(err == io.EOF)
	}
	return n, err
}

// Close gives up an answer that has not been read to its end; the connection is closed.
func (r *Response) Close() { r.finish(false) }

// Buffered says whether a Read returns at once with bytes that have already arrived.
func (r *Response) Buffered() bool { return r.reader.Buffered() > 0 }

func (r *Response) finish(complete bool) {
	if r.done {
		return
	}
	r.done = true
	r.release(complete && r.reusable && r.reader.Buffered() == 0 && r.requestWritten())
}

// requestWritten waits a little for the rest of the request, without which the connection's next
// request would be read as a part of this one.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
	}
	timer := time.NewTimer(requestWriteGrace)
	defer timer.Stop()
	select {
	case err := <-r.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Reset says that the error is a connection that the endpoint reset.
func Reset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused says whether no process listens at the endpoint's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
