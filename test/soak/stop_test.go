package soak

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/faultproxy"
)

var stopRounds = flag.Int("stops", 1, "number of planned stops in each case of TestTroublePlannedStop")

const (
	// bodyDelay is the time between the head and the body of a request that is sent in pieces.
	bodyDelay = 300 * time.Millisecond
	// readTime is the time after which a running daemon must have read what a caller has sent. A connection that is closed
	// sooner may have been in the kernel's accept queue, or its request has crossed the close of an idle connection.
	readTime = 150 * time.Millisecond
	// stopTimeout is the time within which a stopping daemon must exit: the stop bound of its settings and, for a heavily
	// loaded machine, some more.
	stopTimeout = 10 * time.Second
	// callersPerKind is the number of callers that send one kind of request to the stopping daemon.
	callersPerKind = 3
)

// exchange is one request as its caller saw it.
type exchange struct {
	attempt, kind string
	status        int
	complete      bool
	// unanswered is the time from the first byte of the request to the end of the connection without an answer.
	unanswered time.Duration
}

// callDaemon sends requests of one kind to a daemon until it accepts no more connections.
func (s *system) callDaemon(d *daemon, caller int, kind string, record func(exchange)) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", d.entry); err != nil {
				return
			}
			reader = bufio.NewReader(conn)
		}
		x := exchange{attempt: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(kind, " ", "-"), caller, n), kind: kind}
		reusable := s.exchangeOn(conn, reader, &x)
		record(x)
		if !reusable || kind != "kept connection" {
			_ = conn.Close()
			conn = nil
		}
		<-time.After(5 * time.Millisecond)
	}
}

// exchangeOn sends one request on a connection and reads its response. It reports whether the connection can be used
// again.
func (s *system) exchangeOn(conn net.Conn, reader *bufio.Reader, x *exchange) bool {
	path := "/once/"
	if x.kind == "stream" {
		path = "/stream/"
	}
	start := time.Now()
	_ = conn.SetDeadline(start.Add(stopTimeout))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n\r\n", path+x.attempt, x.attempt)
	if err == nil && x.kind == "body later" {
		err = pause(conn, reader)
	}
	if err == nil {
		_, err = conn.Write([]byte("x"))
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	}
	if err != nil {
		x.unanswered = time.Since(start)
		return false
	}
	x.status = resp.StatusCode
	_, err = io.Copy(io.Discard, resp.Body)
	x.complete = err == nil
	return err == nil && !resp.Close
}

// pause waits for bodyDelay and returns an error as soon as the connection ends meanwhile. Otherwise a connection that was
// reset before the daemon read anything would seem to have ended bodyDelay later.
func pause(conn net.Conn, reader *bufio.Reader) error {
	end := time.Now().Add(bodyDelay)
	_ = conn.SetReadDeadline(end)
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(end.Add(stopTimeout))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// checkStop returns a description of each request that the stop of a daemon cut off or misreported.
func (s *system) checkStop(seen []exchange) (problems []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range seen {
		runs := s.runs[x.attempt]
		report := func(text string) {
			problems = append(problems, fmt.Sprintf("%s: %s (status %d, %d runs, cut after %s)", x.attempt, text, x.status, runs, x.unanswered))
		}
		switch {
		case x.status == 0 && (runs > 0 || x.unanswered > readTime):
			report("cut off without an answer")
		case x.status != 0 && !x.complete:
			report("the answer was cut off")
		case x.status == http.StatusServiceUnavailable && runs > 0:
			report("was reported as not run but ran")
		case runs > 1:
			report("ran more than once")
		}
	}
	return problems
}

// TestTroublePlannedStop guards against requests that a planned stop under load cuts off without an answer: those that
// were just accepted, whose body is still on its way, on kept connections, and streams; also while the store does not
// serve the VM that stops, and when another signal arrives during the stop: a second request to stop, or a reload of the
// settings, whose default action ends the process.
func TestTroublePlannedStop(t *testing.T) {
	for _, c := range []struct {
		desc    string
		fault   faultproxy.Fault
		signals []syscall.Signal
	}{
		{"under load", faultproxy.Fault{}, []syscall.Signal{syscall.SIGTERM}},
		{"turned away by the store", faultproxy.Fault{Cut: true}, []syscall.Signal{syscall.SIGTERM}},
		{"stopped twice", faultproxy.Fault{}, []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		{"interrupted", faultproxy.Fault{}, []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}},
		{"reloaded", faultproxy.Fault{}, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			for round := range *stopRounds {
				s := newSystem(t, uint64(round))
				s.waitForVersion(t, 1)
				d := s.daemons[0]
				d.proxy.SetFault(c.fault)
				seen, err := s.stopUnderLoad(d, c.signals)
				if err != nil {
					t.Error(err)
				}
				s.stop()
				for _, problem := range append(s.checkStop(seen), s.violations()...) {
					t.Errorf("round %d: %s", round, problem)
				}
				t.Logf("round %d: %d requests to the daemon that stopped", round, len(seen))
			}
		})
	}
}

// stopUnderLoad sends the signals to a daemon, of which the first one stops it, while callers use it, and returns what
// these saw.
func (s *system) stopUnderLoad(d *daemon, signals []syscall.Signal) (seen []exchange, err error) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	record := func(x exchange) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, x)
	}
	for _, kind := range []string{"whole", "body later", "kept connection", "stream"} {
		for caller := range callersPerKind {
			callers.Go(func() { s.callDaemon(d, caller, kind, record) })
		}
	}
	<-time.After(time.Second)
	cmd, exited := d.process()
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	start := time.Now()
	for _, signal := range signals {
		_ = cmd.Process.Signal(signal)
		<-time.After(100 * time.Millisecond)
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		err = errors.New("the daemon did not exit in time")
		_ = cmd.Process.Kill()
	}
	callers.Wait()
	if took := time.Since(start); took < time.Second {
		err = errors.Join(err, fmt.Errorf("the daemon exited after %s, with requests in progress", took))
	}
	return seen, err
}
