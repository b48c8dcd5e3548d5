package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

// created is the Unix timestamp of every answer; a constant keeps answers deterministic.
const created = 1700000000

// stream sends the answer as server-sent events and reports whether it was sent completely. It adds the tokens
// that were sent to *tokens.
func (c *call) stream(tokens *int) bool {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(c.w)
	if c.chat {
		c.sendChunk(0, `{"role":"assistant","content":""}`, `""`, "null")
	}
	for i := c.resumed + 1; i <= c.length; i++ {
		if i > c.resumed+1 && !c.sleep(c.e.batch.tokenTime()) {
			return false
		}
		t := token(c.hash, i)
		c.sendChunk(i, `{"content":"`+t+`"}`, `"`+t+`"`, "null")
		*tokens++
		if c.e.options.TokenTime > 0 || i == c.length {
			if flush.Flush() != nil {
				return false
			}
		}
		if c.interrupted(*tokens) {
			_ = flush.Flush()
			c.interrupt()
			return false
		}
	}
	if c.faults.CutEnd {
		_ = flush.Flush()
		crashserver.Abort(c.w)
		return false
	}
	c.sendChunk(0, `{}`, `""`, `"`+c.finishReason()+`"`)
	if c.body.StreamOptions.IncludeUsage {
		fmt.Fprintf(c.w, "data: {%s,\"choices\":[],%s}\n\n", c.commonFields("chat.completion.chunk"), c.usage())
	}
	if c.faults.CutDone {
		_ = flush.Flush()
		crashserver.Abort(c.w)
		return false
	}
	_, err := c.w.Write([]byte("data: [DONE]\n\n"))
	return err == nil && flush.Flush() == nil
}

// interrupted reports whether a fault ends the attempt after the given number of tokens.
func (c *call) interrupted(tokens int) bool {
	f := c.faults
	return f.CutAfter > 0 && tokens >= f.CutAfter || f.SilentAfter > 0 && tokens >= f.SilentAfter
}

// interrupt resets the connection (CutAfter), or waits for the client to disconnect (SilentAfter).
func (c *call) interrupt() {
	if c.faults.CutAfter > 0 {
		crashserver.Abort(c.w)
		return
	}
	<-c.r.Context().Done()
}

// sendChunk sends one chunk of a stream. The number of a token is the SSE id of its event; id 0 omits the id.
func (c *call) sendChunk(id int, delta, text, reason string) {
	b := c.buf[:0]
	if id > 0 {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, int64(id), 10)
		b = append(b, '\n')
	}
	b = append(b, "data: {"...)
	if c.chat {
		b = append(b, c.commonFields("chat.completion.chunk")...)
		b = append(b, `,"choices":[{"index":0,"delta":`...)
		b = append(b, delta...)
	} else {
		b = append(b, c.commonFields("text_completion")...)
		b = append(b, `,"choices":[{"index":0,"text":`...)
		b = append(b, text...)
	}
	b = append(b, `,"finish_reason":`...)
	b = append(b, reason...)
	b = append(b, "}]}\n\n"...)
	c.buf = b
	_, _ = c.w.Write(b)
}

// commonFields returns the JSON fields that all chunks of an answer share. The id contains the engine's address,
// because real engines also assign different ids to the same request.
func (c *call) commonFields(object string) string {
	if !c.chat {
		object = "text_completion"
	}
	return `"id":"` + c.e.server.Address() + "-" + strconv.FormatUint(c.hash, 16) +
		`","object":"` + object + `","created":` + strconv.Itoa(created) + `,"model":"` + c.e.options.Model + `"`
}

func (c *call) finishReason() string {
	if c.length < AnswerTokens(c.prompt, 0) {
		return "length"
	}
	return "stop"
}

func (c *call) usage() string {
	completion := c.length - c.resumed
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		c.promptTokens(), completion, c.promptTokens()+completion)
}

// sendJSON sends the answer as one JSON object and reports whether it was sent completely. It adds the generated
// tokens to *tokens.
func (c *call) sendJSON(tokens *int) bool {
	var text strings.Builder
	for i := 1; i <= c.length; i++ {
		if !c.sleep(c.e.batch.tokenTime()) {
			return false
		}
		text.WriteString(token(c.hash, i))
		*tokens++
		if c.interrupted(*tokens) {
			c.interrupt()
			return false
		}
	}
	if c.faults.CutEnd {
		crashserver.Abort(c.w)
		return false
	}
	choice := `"text":"` + text.String() + `"`
	if c.chat {
		choice = `"message":{"role":"assistant","content":"` + text.String() + `"}`
	}
	answer := fmt.Sprintf(`{%s,"choices":[{"index":0,%s,"finish_reason":"%s"}],%s}`,
		c.commonFields("chat.completion"), choice, c.finishReason(), c.usage())
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if c.faults.Truncate {
		_, _ = c.w.Write([]byte(answer[:len(answer)/2]))
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, err := c.w.Write([]byte(answer))
	return err == nil
}
