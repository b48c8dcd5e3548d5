package kit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// Request is a client's request.
type Request struct {
	Method, Path, Host, Key string
	Body                    []byte
	Deadline                time.Duration
	// Header has further fields.
	Header map[string]string
}

// Answer is what a client has seen.
type Answer struct {
	Attempt string
	Sent    time.Time
	Took    time.Duration
	// Status is 0 if no complete answer came.
	Status int
	Stamp  string
	Body   []byte
	Err    error
}

// Client keeps connections to one machine.
type Client struct {
	http   *http.Client
	front  string
	name   string
	record *Record
}

// NewClient returns a client of a machine.
func NewClient(p *Daemon, record *Record) *Client {
	return &Client{front: p.Front, name: p.Name, record: record, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// Do sends a request once and waits for its answer.
func (c *Client) Do(q Request) Answer {
	a := Answer{Attempt: fmt.Sprintf("9c41d07b%08x", attempts.Add(1)), Sent: time.Now()}
	if q.Deadline == 0 {
		q.Deadline = 1500 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.front+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = q.Host
	r.GetBody = nil
	r.Header.Set("Attempt-Id", a.Attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	if q.Key != "" {
		r.Header.Set("Authorization", "Token "+q.Key)
	}
	resp, err := c.http.Do(r)
	if err == nil {
		a.Body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.Took, a.Err = time.Since(a.Sent), err
	if err == nil {
		a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	}
	c.record.Add("client", "%s %s at %s, key %q, sent at %.3f: status %d, stamp %q, after %d ms, error %v", a.Attempt, q.Path, c.name, q.Key, c.record.Since(a.Sent), a.Status, a.Stamp, a.Took.Milliseconds(), err)
	return a
}

// DoOnce sends a request on a connection of its own.
func (c *Client) DoOnce(q Request) Answer {
	defer c.http.CloseIdleConnections()
	return c.Do(q)
}
