package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// earlyPieces is the number of pieces of an answer of an early runner, and earlyPiece one of them.
	earlyPieces = 40
	earlyPause  = 50 * time.Millisecond
	// earlyWindow is the receive buffer of a channel, and earlySegment its largest segment, as on Ethernet. On the loopback
	// interface the kernel would otherwise take megabytes from a writer whose peer does not read.
	earlyWindow  = 16 << 10
	earlySegment = 1460
	// earlyRate is how many bytes of a body the runner reads between two pieces.
	earlyRate = 8 << 10
)

// earlyPiece returns a piece of the answer to a request.
func earlyPiece(id string, n int) string {
	return fmt.Sprintf("%s piece %02d %s\n", id, n, strings.Repeat(".", 40))
}

// earlyAnswerTo returns the whole answer to a request.
func earlyAnswerTo(id string) string {
	var b strings.Builder
	for n := range earlyPieces {
		b.WriteString(earlyPiece(id, n))
	}
	return b.String()
}

// earlyRunner answers before it has read a long body, and reads on while it answers. Its answers have no length and end
// with the channel.
type earlyRunner struct {
	*runner
	mu    sync.Mutex
	conns map[net.Conn]string
}

func newEarlyRunner(p *play, id string) (*earlyRunner, error) {
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyWindow),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, earlySegment),
			)
		}), err)
	}}
	l, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &earlyRunner{
		runner: &runner{id: id, service: "desk", listener: l, born: time.Now().UnixMilli(), rec: p.rec, runs: p.runs}, conns: map[net.Conn]string{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *earlyRunner) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	if q.Header.Get("Expect-Instance") != r.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return
	}
	r.mu.Lock()
	r.conns[c] = id
	r.mu.Unlock()
	r.rec.add("runner %s runs %s (%s %s, a body of %d bytes)", r.id, id, q.Method, q.URL.Path, q.ContentLength)
	r.runs.add(run{id: id, path: q.URL.Path, runner: r.id, at: time.Now()})
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s-%s\r\nConnection: close\r\n\r\n", id, r.id, id)
	for n := range earlyPieces {
		if _, err := io.WriteString(c, earlyPiece(id, n)); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, q.Body, earlyRate); err != nil && err != io.EOF {
			return
		}
		time.Sleep(earlyPause)
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	r.rec.add("runner %s has sent its whole answer to %s, %d bytes", r.id, id, len(earlyAnswerTo(id)))
}

// crash ends the runner. Its channels have unread bytes and are reset, as the kernel does at the end of a process.
func (r *earlyRunner) crash() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, id := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
		r.rec.add("the crash of %s cuts off its answer to %s", r.id, id)
	}
}

// earlyAnswers lets callers send long bodies to runners that answer before they have read them, without a length, and lets
// one of four runners crash in the middle of its answers.
func earlyAnswers(p *play) (int, error) {
	const (
		callers   = 16
		bodyBytes = 4194304
		timeout   = 8 * time.Second
		crashAt   = 900 * time.Millisecond
	)
	var err error
	if p.store, err = newStore(); err != nil {
		return unplayed, err
	}
	var early []*earlyRunner
	var runners []*runner
	for i := range 4 {
		r, err := newEarlyRunner(p, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return unplayed, err
		}
		early, runners = append(early, r), append(runners, r.runner)
	}
	if err := p.begin(newConfig(int(timeout.Milliseconds())), runners, 3, nil); err != nil {
		return unplayed, err
	}
	time.Sleep(4 * time.Second)
	body := make([]byte, bodyBytes)
	results := make(chan outcome, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := newChannel(p.rec, p.fleet.daemons[i%len(p.fleet.daemons)].front)
			defer k.close()
			results <- k.do("POST", "/book/1", callerKey, body, timeout)
		}()
	}
	if p.trouble {
		time.Sleep(crashAt)
		// The runner with the most answers in progress.
		victim := early[0]
		for _, r := range early[1:] {
			if len(r.conns) > len(victim.conns) {
				victim = r
			}
		}
		p.rec.say("%s crashes", victim.id)
		victim.crash()
	}
	wg.Wait()
	close(results)
	whole, wrong, failed := 0, 0, 0
	for o := range results {
		switch {
		case !o.whole || o.status < 200 || o.status > 299:
			failed++
		case o.body == earlyAnswerTo(o.id):
			whole++
		default:
			wrong++
			p.rec.say("%s: the caller got status %d and a complete answer of %d bytes; the runner's whole answer has %d", o.id, o.status, len(o.body), len(earlyAnswerTo(o.id)))
		}
	}
	p.rec.say("%d whole answers, %d failures, %d answers that look complete and are not", whole, failed, wrong)
	if wrong > 0 {
		return broken, nil
	}
	if whole == 0 {
		return unplayed, errors.New("no whole answer")
	}
	return held, nil
}
