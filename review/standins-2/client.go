package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client saw of a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if there was no connection or no complete answer.
	Err error
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, error %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, %d bytes", a.Status, len(a.Body))
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, Attempt, Key string
	Deadline                         time.Duration
	Header                           string
	Body                             []byte
}

func (q Request) head() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.Attempt, q.Deadline.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(b, "Authorization: Token %s\r\n", q.Key)
	}
	b.WriteString(q.Header)
	if q.Method != http.MethodGet {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// Do sends a request on a new channel and reads the answer. A client allows a new channel one second.
func Do(address string, q Request) Answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return DoOn(c, bufio.NewReader(c), q)
}

// DoOn sends a request on an open channel and reads the answer.
func DoOn(c net.Conn, in *bufio.Reader, q Request) Answer {
	_ = c.SetDeadline(time.Now().Add(q.Deadline + time.Second))
	if _, err := io.WriteString(c, q.head()+string(q.Body)); err != nil {
		return Answer{Err: err}
	}
	r, err := http.ReadResponse(in, &http.Request{Method: q.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: body, Err: err}
}
