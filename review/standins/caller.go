package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	sent   time.Time
	status int
	// body is the answer's body, and whole is set when the answer is complete.
	body  string
	whole bool
	stamp string
	err   error
	took  time.Duration
}

// channel is one kept connection of a caller to a daemon. It sends each request once.
type channel struct {
	rec    *record
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

func newChannel(rec *record, front string) *channel { return &channel{rec: rec, front: front} }

var nextID atomic.Int64

// newID returns a new attempt id.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), nextID.Add(1)) }

// do sends one request, on the connection of the one before if that is still open, and waits for the answer.
func (c *channel) do(method, path, key string, body []byte, timeout time.Duration) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	c.rec.add("caller sends %s (%s %s, %d bytes) to %s", o.id, method, path, len(body), c.front)
	o.err = c.exchange(&o, method, path, key, body, timeout)
	o.took = time.Since(o.sent)
	c.rec.add("caller: %s ends with status %d, complete %v, error %v, after %d ms", o.id, o.status, o.whole, o.err, o.took.Milliseconds())
	return o
}

func (c *channel) exchange(o *outcome, method, path, key string, body []byte, timeout time.Duration) (err error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reusable := false
	defer func() {
		if !reusable {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(o.sent.Add(timeout)); err != nil {
		return err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, o.id, timeout.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", key)
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return errors.Join(errors.New("no answer"), err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	o.status, o.body, o.whole, o.stamp = resp.StatusCode, string(raw), err == nil, resp.Header.Get("Server-Stamp")
	reusable = err == nil && !resp.Close
	return err
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
