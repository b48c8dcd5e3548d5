package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chivewind/chivewind/internal/responsehead"
)

const (
	// maxSkippedResponses is the number of skipped responses to other requests after which a request fails.
	maxSkippedResponses = 4
	// maxSkippedBody limits the body of a skipped response, in bytes.
	maxSkippedBody = 1 << 20
	// requestWriteGrace is how long the rest of a request may take to be written after the end of its
	// response. After that the connection is closed.
	requestWriteGrace = 50 * time.Millisecond
	readBufferSize    = 4 << 10
	// bodySendBuffer is the size of the kernel's send buffer, in bytes, for bodies of several parts. The kernel doubles
	// it, which is enough for 1,000 Mbit/s with 2 ms of latency.
	bodySendBuffer = 128 << 10
	// maxHeadBytes limits the bytes that are read for the header of a response, informational responses before it
	// included. The header of a faulty endpoint may have no end.
	maxHeadBytes = 64 << 10
)

// errHeadTooLarge means that an endpoint sent maxHeadBytes without completing the header of a response.
var errHeadTooLarge = fmt.Errorf("response header exceeds %d bytes", maxHeadBytes)

// errUnattributable means that a response without an ID arrived on a connection that had carried earlier requests. It may
// be a late response to one of them, so that what it says, for example that a request was not executed, need not be true
// of the current request.
var errUnattributable = errors.New("response without an ID on a reused connection")

// errUnsent marks a write that failed before any byte was sent.
var errUnsent = errors.New("nothing was written")

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	raw         net.Conn
	source      *limitedReader
	reader      *bufio.Reader
	reused      bool
	idleTimeout time.Duration
	usableUntil time.Time
	closeOnce   sync.Once

	// writing is held during a write and guards writeErr, the error of the last write that failed.
	writing  sync.Mutex
	writeErr error
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw, idleTimeout: defaultIdleTimeout}
	c.source = &limitedReader{source: resetReader{c}}
	c.reader = bufio.NewReaderSize(c.source, readBufferSize)
	return c
}

// resetReader reads from the socket of a connection and returns io.EOF only if the endpoint ended the connection in
// order. A socket reports a reset to a single call: if that was a write, reads return io.EOF.
type resetReader struct{ c *conn }

// Read implements io.Reader.
func (r resetReader) Read(p []byte) (int, error) {
	n, err := r.c.raw.Read(p)
	if err == io.EOF {
		if writeErr := r.c.abortWrite(); writeErr != nil {
			err = fmt.Errorf("connection broken while the request was written: %w", writeErr)
		}
	}
	return n, err
}

// abortWrite ends a write in progress and returns the error of the last write that had failed before.
func (c *conn) abortWrite() error {
	// A write that has got an error from the socket returns it; one that still waits for room returns
	// os.ErrDeadlineExceeded.
	_ = c.raw.SetWriteDeadline(time.Unix(0, 1))
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// limitedReader reads from source. While it is limited, it passes what it reads to folds, and fails once remaining bytes
// have been read.
type limitedReader struct {
	source    io.Reader
	limited   bool
	remaining int
	folds     foldScanner
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.folds.scan(p[:n])
	return n, err
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.raw.Close() }) }

// healthy reports whether an idle connection is still open and has received no unexpected bytes. It reads
// from the socket without blocking.
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

// exchange writes a request and reads the header of its response. Responses to other requests are skipped.
// sent reports whether a byte of the request may have reached the endpoint.
func (c *conn) exchange(r *Request, parseHead HeadParser) (resp *Response, sent bool, err error) {
	writeResult := make(chan error, 1)
	message, rest := r.encode()
	if len(rest) == 0 && len(message) <= readBufferSize {
		// A message of at most readBufferSize bytes fits into the socket's send buffer, so the write does not
		// block.
		writeResult <- c.write(message)
	} else {
		// The endpoint may respond before it has read the whole body.
		go func() { writeResult <- c.write(message, rest...) }()
	}
	for range maxSkippedResponses {
		head, err := c.readHead(r)
		if err != nil {
			return nil, c.closeAndCheckSent(writeResult), err
		}
		got := parseHead(head.StatusCode, head.Header)
		if r.OnHead != nil {
			r.OnHead(got)
		}
		if c.reused && got.AttemptID == "" && r.AttemptID != "" && head.StatusCode >= http.StatusMultipleChoices {
			return nil, true, errUnattributable
		}
		if !matchesAttempt(got.AttemptID, r.AttemptID, head.StatusCode) {
			if n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBody)); err != nil || n == maxSkippedBody {
				return nil, true, fmt.Errorf("answer of another request: %w", errors.Join(err, io.ErrUnexpectedEOF))
			}
			continue
		}
		return c.newResponse(head, writeResult), true, nil
	}
	return nil, true, errors.New("only answers of other requests arrived")
}

// matchesAttempt reports whether a response with the ID got belongs to the request with the ID want. A response
// without an ID matches if the request has none either or the status is 300 or above; exchange has rejected the latter on
// reused connections.
func matchesAttempt(got, want string, status int) bool {
	if got == "" {
		return want == "" || status >= http.StatusMultipleChoices
	}
	return got == want
}

// closeAndCheckSent closes the connection after a failed read and reports whether the endpoint may have
// received part of the request.
func (c *conn) closeAndCheckSent(writeResult <-chan error) bool {
	c.close()
	return !errors.Is(<-writeResult, errUnsent)
}

// write writes a message and the parts of a body that follow it. The parts are not copied.
func (c *conn) write(message []byte, rest ...[]byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	var n int64
	var err error
	if len(rest) == 0 {
		var written int
		written, err = c.raw.Write(message)
		n = int64(written)
	} else {
		// Without a limit the kernel's copy of a body grows to a few megabytes if the endpoint reads slowly.
		if raw, ok := c.raw.(*net.TCPConn); ok && len(rest) > 1 {
			_ = raw.SetWriteBuffer(bodySendBuffer)
		}
		// WriteTo changes the list, which other attempts need.
		parts := append(net.Buffers{message}, rest...)
		n, err = parts.WriteTo(c.raw)
	}
	if err != nil {
		c.writeErr = err
	}
	if err != nil && n == 0 {
		return errors.Join(errUnsent, err)
	}
	return err
}

// readHead reads the header of the next response, of at most maxHeadBytes, and skips informational (1xx) responses.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.source.limited, c.source.remaining = true, maxHeadBytes
	defer func() { c.source.limited = false }()
	for {
		c.source.folds = foldScanner{}
		received, _ := c.reader.Peek(c.reader.Buffered())
		c.source.folds.scan(received)
		head, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if c.source.folds.folded {
			return nil, errFoldedField
		}
		if err := responsehead.Check(head); err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

func (c *conn) newResponse(head *http.Response, writeResult <-chan error) *Response {
	// The body of a response without a length ends when the connection is closed.
	closeDelimited := head.ContentLength < 0 && len(head.TransferEncoding) == 0
	c.idleTimeout = keepAliveTimeout(head.Header)
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength,
		ConnectionClose: head.Close && !closeDelimited, EndsWithConnection: closeDelimited, body: head.Body, reader: c.reader, writeResult: writeResult,
		reusable: !head.Close && !closeDelimited && head.ProtoAtLeast(1, 1),
	}
}

// keepAliveTimeout returns how long an idle connection may be reused according to the Keep-Alive header of
// the endpoint.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// encode returns the request in its HTTP/1.1 wire format: a message, and the parts of the body that follow it. The body
// of a short request is part of the message, so that it is written with a single call.
func (r *Request) encode() (message []byte, rest [][]byte) {
	length := 0
	for _, part := range r.Body {
		length += len(part)
	}
	var b bytes.Buffer
	b.Grow(min(length, readBufferSize) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // writing to a bytes.Buffer does not fail
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	if b.Len()+length > readBufferSize {
		return b.Bytes(), r.Body
	}
	for _, part := range r.Body {
		b.Write(part)
	}
	return b.Bytes(), nil
}

// Response is the response to a request. Its body must be read to the end or closed. It is not safe for
// concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the endpoint did not state it.
	Length int64
	// ConnectionClose reports whether the endpoint closes the connection after this response although the response
	// has a length.
	ConnectionClose bool
	// EndsWithConnection reports whether the body has neither a length nor chunks and ends when the endpoint closes the
	// connection, so that a body that was broken off may look complete.
	EndsWithConnection bool

	body        io.ReadCloser
	reader      *bufio.Reader
	writeResult <-chan error
	reusable    bool
	release     func(reusable bool)
	done        bool
}

// Read reads the body. It returns io.EOF only when the response is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.finish(err == io.EOF)
	}
	return n, err
}

// Close abandons a response that has not been read to its end and closes the connection.
func (r *Response) Close() { r.finish(false) }

// Buffered reports whether the next Read returns bytes that have already been received.
func (r *Response) Buffered() bool { return r.reader.Buffered() > 0 }

func (r *Response) finish(complete bool) {
	if r.done {
		return
	}
	r.done = true
	r.release(complete && r.reusable && r.reader.Buffered() == 0 && r.requestWritten())
}

// requestWritten reports whether the whole request was written. It waits up to requestWriteGrace: if the rest
// were missing, the endpoint would read the connection's next request as part of this one.
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

// IsConnectionReset reports whether err means that the endpoint reset the connection.
func IsConnectionReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsConnectionRefused reports whether err means that no process listens at the endpoint's address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
