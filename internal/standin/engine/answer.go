package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the length of each token's text. The length is fixed so that the engine can separate a
	// prompt from the partial answer appended to it.
	TokenBytes = 8

	minAnswerTokens   = 8
	answerTokensRange = 57
	// lengthPrefix precedes the requested number of answer tokens in a prompt.
	lengthPrefix = "length="
)

// Token returns token i, counted from 1, of the answer to a prompt.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

func token(hash uint64, i int) string {
	x := hash + uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	const digits = "0123456789abcdef"
	var b [TokenBytes]byte
	b[0] = ' '
	for k := 1; k < TokenBytes; k++ {
		b[k] = digits[x&15]
		x >>= 4
	}
	return string(b[:])
}

// AnswerTokens returns the number of tokens in the answer to a prompt, at most limit; a limit of 0 means no limit.
// A prompt that contains "length=N" gets an answer of N tokens.
func AnswerTokens(prompt string, limit int) int {
	n := minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokensRange)
	if _, rest, ok := strings.Cut(prompt, lengthPrefix); ok {
		end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
		if end < 0 {
			end = len(rest)
		}
		if v, err := strconv.Atoi(rest[:end]); err == nil && v > 0 {
			n = v
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Answer returns the complete answer to a prompt, of at most limit tokens; a limit of 0 means no limit.
func Answer(prompt string, limit int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := 1; i <= AnswerTokens(prompt, limit); i++ {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (m chatMessage) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// requestBody contains the request fields that the stand-in supports.
type requestBody struct {
	Model         string          `json:"model"`
	Messages      []chatMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	Priority      int             `json:"priority"`
	Continue      bool            `json:"continue_final_message"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (b *requestBody) limit() int { return max(b.MaxTokens, b.MaxCompletion) }

// ChatPrompt returns the prompt that the engine derives from a chat with a single user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

// prompt splits the request into the prompt and the partial answer of resumed tokens that follows it.
func (b *requestBody) prompt(chat bool, resumed int) (prompt, partial string) {
	if !chat {
		var s string
		if json.Unmarshal(b.Prompt, &s) != nil {
			s = string(b.Prompt)
		}
		cut := max(len(s)-resumed*TokenBytes, 0)
		return s[:cut], s[cut:]
	}
	messages := b.Messages
	if b.Continue && len(messages) > 0 {
		partial = messages[len(messages)-1].text()
		messages = messages[:len(messages)-1]
	}
	var p strings.Builder
	for _, m := range messages {
		p.WriteString(m.Role + ": " + m.text() + "\n")
	}
	return p.String(), partial
}
