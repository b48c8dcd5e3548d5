package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/modules/front"
)

// chat is one chat completion and what its caller saw.
type chat struct {
	id, class, prompt string
	// want is the right answer, of this number of tokens.
	want   string
	tokens int

	// outcome is empty when the caller got none.
	outcome    checker.Outcome
	got        string
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
}

// chatBody and chatMessage are a request in the OpenAI form.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Outcome checker.Outcome `json:"outcome"`
	} `json:"error"`
}

// stream sends a chat completion and reads its answer.
func (l *load) stream(ctx context.Context, c *chat) {
	body, err := json.Marshal(chatBody{Model: modelName, Stream: true, Messages: []chatMessage{{Role: "user", Content: c.prompt}}})
	if err != nil {
		return
	}
	begun := time.Now()
	resp, err := l.send(ctx, dispatch.PathChatCompletions, body, map[string]string{
		front.HeaderRequestID: c.id, front.HeaderClass: c.class,
	})
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.read(resp.Body, begun)
	c.total = time.Since(begun)
	if c.outcome == "" {
		c.outcome = outcomeOf(resp)
	}
}

// read reads the events of an answer.
func (c *chat) read(r io.Reader, begun time.Time) {
	var text strings.Builder
	last := begun
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var event chunk
		if !ok || json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		if event.Error != nil {
			c.outcome = event.Error.Outcome
		}
		for _, choice := range event.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			now := time.Now()
			if c.firstToken == 0 {
				c.firstToken = now.Sub(begun)
			} else {
				c.gaps = append(c.gaps, now.Sub(last))
			}
			last = now
			text.WriteString(choice.Delta.Content)
		}
	}
	c.got = text.String()
}

// post sends one request of a booking and returns the outcome and the body that the service saw.
func (l *load) post(ctx context.Context, s send, body string) (checker.Outcome, string) {
	resp, err := l.send(ctx, bookingsPrefix+"new", []byte(body), map[string]string{
		front.HeaderRequestID: s.id, front.HeaderIdempotency: s.key,
	})
	if err != nil {
		return "", ""
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", ""
	}
	var answer plain.Answer
	if json.Unmarshal(raw, &answer) != nil {
		answer.Body = string(raw)
	}
	return outcomeOf(resp), answer.Body
}

// outcomeOf returns the outcome of an answer that was read to its end.
func outcomeOf(resp *http.Response) checker.Outcome {
	if outcome := resp.Trailer.Get(front.HeaderOutcome); outcome != "" {
		return checker.Outcome(outcome)
	}
	return checker.Outcome(resp.Header.Get(front.HeaderOutcome))
}

// send posts a request to one of the entry addresses.
func (l *load) send(ctx context.Context, path string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.entry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(front.HeaderWorkspace, workspaceName)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return l.client.Do(req)
}

// entry returns one of the addresses that a daemon named, as a caller does that keeps an answer for
// its validity.
func (l *load) entry() string {
	l.mu.Lock()
	kept, fresh := l.entries, time.Now().Before(l.keptTill)
	l.mu.Unlock()
	if !fresh {
		if answer, ok := l.askEntry(); ok {
			kept = nil
			for _, a := range answer.Addresses {
				kept = append(kept, a.URL)
			}
			l.mu.Lock()
			l.entries = kept
			l.keptTill = time.Now().Add(time.Duration(answer.ValidForMS) * time.Millisecond)
			l.mu.Unlock()
		}
	}
	if len(kept) == 0 {
		kept = l.fleet.callers
	}
	return kept[rand.IntN(len(kept))]
}

// entryTimeout bounds the question for entry addresses.
const entryTimeout = time.Second

func (l *load) askEntry() (front.EntryAnswer, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	address := l.fleet.callers[rand.IntN(len(l.fleet.callers))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/entry", nil)
	if err != nil {
		return front.EntryAnswer{}, false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return front.EntryAnswer{}, false
	}
	defer resp.Body.Close()
	var answer front.EntryAnswer
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err == nil && len(answer.Addresses) > 0
}
