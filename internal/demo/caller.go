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

// chatRequest is one chat completion request and what its caller received.
type chatRequest struct {
	id, class, prompt string
	// want is the expected answer, tokens its length.
	want   string
	tokens int

	// outcome is empty when the caller got none.
	outcome checker.Outcome
	got     string
	// firstToken and total are measured from the start of the request; gaps are the times between tokens.
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
}

// chatBody is the JSON body of a chat completion request in the OpenAI format.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is the data of one server-sent event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Outcome checker.Outcome `json:"outcome"`
	} `json:"error"`
}

// sendChat sends a chat completion and reads its answer. When the caller gets no outcome, c.outcome stays empty
// and the request counts as lost.
func (l *loadGenerator) sendChat(ctx context.Context, c *chatRequest) {
	body, err := json.Marshal(chatBody{Model: modelName, Stream: true, Messages: []chatMessage{{Role: "user", Content: c.prompt}}})
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := l.post(ctx, dispatch.PathChatCompletions, body, map[string]string{
		front.HeaderRequestID: c.id, front.HeaderClass: c.class,
	})
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.readEvents(resp.Body, start)
	c.total = time.Since(start)
	if c.outcome == "" {
		c.outcome = outcomeOf(resp)
	}
}

// readEvents reads the server-sent events of an answer and measures their times from start.
func (c *chatRequest) readEvents(r io.Reader, start time.Time) {
	var text strings.Builder
	last := start
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
				c.firstToken = now.Sub(start)
			} else {
				c.gaps = append(c.gaps, now.Sub(last))
			}
			last = now
			text.WriteString(choice.Delta.Content)
		}
	}
	c.got = text.String()
}

// postBooking sends one request of a booking and returns its outcome and the request body that the service
// received according to its response, or the raw response if that is not JSON. Both are empty when the
// connection failed or was closed.
func (l *loadGenerator) postBooking(ctx context.Context, request bookingRequest, body string) (checker.Outcome, string) {
	resp, err := l.post(ctx, bookingsPrefix+"new", []byte(body), map[string]string{
		front.HeaderRequestID: request.id, front.HeaderIdempotencyKey: request.key,
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

// outcomeOf returns the outcome from the trailer or the header of an answer. The body must have been read to
// its end, because the trailer follows it.
func outcomeOf(resp *http.Response) checker.Outcome {
	if outcome := resp.Trailer.Get(front.HeaderOutcome); outcome != "" {
		return checker.Outcome(outcome)
	}
	return checker.Outcome(resp.Header.Get(front.HeaderOutcome))
}

// post sends a POST request to one of the daemons.
func (l *loadGenerator) post(ctx context.Context, path string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.callerURL()+path, bytes.NewReader(body))
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

// callerURL returns a random base URL from the last answer of GET /v1/entry, which lists the daemons that
// accept requests. Like a real caller, it caches an answer until it expires, and uses the old URLs when a
// request for new ones fails.
func (l *loadGenerator) callerURL() string {
	l.mu.Lock()
	urls, fresh := l.entryURLs, time.Now().Before(l.entryURLsExpire)
	l.mu.Unlock()
	if !fresh {
		if response, ok := l.fetchEntry(); ok {
			urls = nil
			for _, a := range response.Addresses {
				urls = append(urls, a.URL)
			}
			l.mu.Lock()
			l.entryURLs = urls
			l.entryURLsExpire = time.Now().Add(time.Duration(response.ValidForMS) * time.Millisecond)
			l.mu.Unlock()
		}
	}
	if len(urls) == 0 {
		urls = l.fleet.callerURLs
	}
	return urls[rand.IntN(len(urls))]
}

// entryTimeout bounds a request to /v1/entry.
const entryTimeout = time.Second

// fetchEntry requests the daemons' addresses for callers from a random daemon. It returns false when the
// request fails or the answer lists no address.
func (l *loadGenerator) fetchEntry() (front.EntryResponse, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	address := l.fleet.callerURLs[rand.IntN(len(l.fleet.callerURLs))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/entry", nil)
	if err != nil {
		return front.EntryResponse{}, false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return front.EntryResponse{}, false
	}
	defer resp.Body.Close()
	var response front.EntryResponse
	err = json.NewDecoder(resp.Body).Decode(&response)
	return response, err == nil && len(response.Addresses) > 0
}
