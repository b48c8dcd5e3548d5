package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/standin/engine"
)

// eventLog records what callers, stand-ins and operators observe, as input for the checker.
type eventLog struct {
	t     *testing.T
	start time.Time

	mu     sync.Mutex
	events []checker.Event
}

func newEventLog(t *testing.T) *eventLog { return &eventLog{t: t, start: time.Now()} }

func (l *eventLog) add(e checker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.start)
	l.events = append(l.events, e)
}

// addRevision records the revision that a daemon returned in response to a request sent at sentAt.
func (l *eventLog) addRevision(daemon string, sentAt time.Time, revision uint64) {
	l.add(checker.Event{Kind: checker.RevisionSeen, Daemon: daemon, QueriedAt: sentAt.Sub(l.start), Revision: revision})
}

// check reports each violation in the log as a test error.
func (l *eventLog) check() {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range checker.Check(l.events, checker.DefaultBounds) {
		l.t.Errorf("violation: %s", v)
	}
}

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome checker.Outcome
	text    string
	// cut is true if the stream ended without [DONE].
	cut bool
	err error
}

// chat describes a chat completion request of a caller.
type chat struct {
	id        string
	prompt    string
	maxTokens int
	workspace string
	class     string
	// onToken is called after each token; it may be nil.
	onToken func(n int)
}

// expectedAnswer returns the answer that the stand-in engine generates for the prompt.
func (c chat) expectedAnswer() string { return engine.Answer(engine.ChatPrompt(c.prompt), c.maxTokens) }

// sendLogged streams a chat completion through a daemon and records it for the checker.
func (s *system) sendLogged(ctx context.Context, d *daemon, c chat) answer {
	s.log.add(checker.Event{Kind: checker.CallerSent, Request: c.id})
	a := s.stream(ctx, d, c)
	s.log.add(checker.Event{Kind: checker.CallerDone, Request: c.id, Outcome: a.outcome,
		Got: a.text, Want: c.expectedAnswer()})
	return a
}

func (s *system) stream(ctx context.Context, d *daemon, c chat) answer {
	req, err := c.request(ctx, d)
	if err != nil {
		return answer{err: err, outcome: checker.Failed}
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err, outcome: checker.Failed}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 400 {
		raw, err := io.ReadAll(resp.Body)
		a := answer{status: resp.StatusCode, cut: true, err: fmt.Errorf("error response %q, read error %v", raw, err)}
		a.outcome = responseOutcome(resp, a)
		return a
	}
	a := readStream(resp.Body, c.onToken)
	a.status = resp.StatusCode
	a.outcome = responseOutcome(resp, a)
	return a
}

// request returns the HTTP request for the chat completion to a daemon.
func (c chat) request(ctx context.Context, d *daemon) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{
		"model": "bonsai", "stream": true, "max_tokens": c.maxTokens,
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chivewind-Workspace", c.workspace)
	if c.id != "" {
		req.Header.Set("X-Request-Id", c.id)
	}
	if c.class != "" {
		req.Header.Set("X-Chivewind-Class", c.class)
	}
	return req, nil
}

// openStream sends a chat completion and returns the connection without reading from it.
func (s *system) openStream(ctx context.Context, d *daemon, c chat) net.Conn {
	s.t.Helper()
	req, err := c.request(ctx, d)
	if err != nil {
		s.t.Fatal(err)
	}
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		s.t.Fatal(err)
	}
	// A small receive buffer makes the daemon's writes block early.
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		s.t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// callerClient opens a new connection for each request, as many small callers do.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// responseOutcome returns the outcome in the trailer or else the header. Without either, an error response, a
// failed read or an incomplete stream counts as failed, anything else as completed.
func responseOutcome(resp *http.Response, a answer) checker.Outcome {
	outcome := resp.Trailer.Get("X-Chivewind-Outcome")
	if outcome == "" {
		outcome = resp.Header.Get("X-Chivewind-Outcome")
	}
	switch {
	case outcome == "" && (a.err != nil || a.cut || resp.StatusCode >= 400):
		return checker.Failed
	case outcome == "":
		return checker.Completed
	}
	return checker.Outcome(outcome)
}

// readStream reads SSE events until the body ends, and calls onToken after each token.
func readStream(body io.Reader, onToken func(int)) answer {
	a := answer{cut: true}
	var text strings.Builder
	n := 0
	lines := newLineReader(body)
	for {
		line, err := lines.next()
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			break
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.cut = false
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.err = fmt.Errorf("event %q: %w", data, err)
			break
		}
		if chunk.Error != nil {
			a.err = fmt.Errorf("error event: %s", chunk.Error.Message)
		}
		for _, c := range chunk.Choices {
			if c.Delta.Content == "" {
				continue
			}
			text.WriteString(c.Delta.Content)
			n++
			if onToken != nil {
				onToken(n)
			}
		}
	}
	a.text = text.String()
	return a
}

// book sends a non-idempotent booking with an idempotency key, which is also its request ID.
func (s *system) book(ctx context.Context, d *daemon, key, body string) answer {
	return s.bookWithID(ctx, d, key, key, body)
}

// bookWithID sends a booking with a request ID that differs from its idempotency key, so that the counts of the
// plain services show which of several requests with the same key ran.
func (s *system) bookWithID(ctx context.Context, d *daemon, id, key, body string) answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/bookings/new", strings.NewReader(body))
	if err != nil {
		return answer{err: err, outcome: checker.Failed}
	}
	req.Header.Set("X-Chivewind-Workspace", "show")
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{err: err, outcome: checker.Failed}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, text: string(raw), err: err}
	a.outcome = responseOutcome(resp, a)
	return a
}

// totalPlainRuns returns how often requests with a key ran on all plain services together.
func (s *system) totalPlainRuns(key string) int {
	s.t.Helper()
	total := 0
	for _, p := range s.plains {
		total += p.runsByKey(s.t)[key]
	}
	return total
}

// runsByKey reads the run counts of a plain stand-in by idempotency key.
func (v *service) runsByKey(t *testing.T) map[string]int {
	t.Helper()
	return v.plainRuns(t).ByKey
}

// plainRuns contains the run counts of a plain stand-in.
type plainRuns struct {
	ByKey map[string]int `json:"by_key"`
	ByID  map[string]int `json:"by_id"`
}

// plainRuns reads the run counts of a plain stand-in.
func (v *service) plainRuns(t *testing.T) (runs plainRuns) {
	t.Helper()
	v.readRuns(t, &runs)
	return runs
}

// readRuns reads the run counts of a stand-in. It retries, because a crashed stand-in responds again only after its
// down time.
func (v *service) readRuns(t *testing.T, into any) {
	t.Helper()
	eventually(t, requestTimeout, "runs of "+v.id, func() error {
		return getJSON("http://"+v.addr+"/admin/runs", into)
	})
}

// attemptCounts contains the attempt counts of one request ID or prompt at an engine.
type attemptCounts struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Resumed   int `json:"resumed"`
	Canceled  int `json:"canceled"`
}

// engineRuns contains the attempt counts of an engine stand-in.
type engineRuns struct {
	ByID     map[string]attemptCounts `json:"by_id"`
	ByPrompt map[string]attemptCounts `json:"by_prompt"`
}

// engineRuns reads the attempt counts of an engine stand-in.
func (v *service) engineRuns(t *testing.T) (runs engineRuns) {
	t.Helper()
	v.readRuns(t, &runs)
	return runs
}

func (s *system) getJSON(url string, into any) {
	s.t.Helper()
	if err := getJSON(url, into); err != nil {
		s.t.Fatalf("%s: %v", url, err)
	}
}

func getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// setFaults replaces the active faults of a stand-in.
func (s *system) setFaults(v *service, faults any) {
	s.t.Helper()
	s.postJSON("http://"+v.addr+"/admin/faults", faults)
}

func (s *system) postJSON(url string, body any) {
	s.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		s.t.Fatalf("%s: %s", url, resp.Status)
	}
}
