package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/chivewind/chivewind/internal/dispatch"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
)

func (h *harness) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(h.url+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
}

func chatParams(content string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "standin",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

// TestOpenAIClient guards against responses that the OpenAI client library rejects, including those of streams
// whose engine crashes: the library's accumulator rejects chunks with a different ID.
func TestOpenAIClient(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.client()
	for _, cut := range []int{0, 5} {
		h.engines[0].SetFaults(enginestandin.Faults{CutAfter: cut})
		want := enginestandin.Answer(enginestandin.ChatPrompt("hello length=20"), 0)

		stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("hello length=20"))
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			if !acc.AddChunk(stream.Current()) {
				t.Fatal("the accumulator refused a chunk")
			}
		}
		if stream.Err() != nil || len(acc.Choices) != 1 || acc.Choices[0].Message.Content != want || acc.Choices[0].FinishReason != "stop" {
			t.Errorf("cut after %d: stream: %v, %+v", cut, stream.Err(), acc.Choices)
		}

		completion, err := client.Chat.Completions.New(context.Background(), chatParams("hello length=20"))
		if err != nil || completion.Choices[0].Message.Content != want || completion.Usage.CompletionTokens != 20 {
			t.Errorf("cut after %d: non-streaming: %v, %+v", cut, err, completion)
		}

		text, err := client.Completions.New(context.Background(), openai.CompletionNewParams{
			Model: "standin", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello length=20")},
		})
		if err != nil || text.Choices[0].Text != enginestandin.Answer("hello length=20", 0) {
			t.Errorf("cut after %d: completion: %v", cut, err)
		}
	}
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "standin" {
		t.Errorf("models: %v, %+v", err, models)
	}
}

// TestOpenAIClientErrors guards against errors that the client library cannot decode, and against a truncated
// stream that the library takes for complete because it carries no error.
func TestOpenAIClientErrors(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.client()
	h.scheduler.shed = &dispatch.ShedError{Reason: "overload", RetryAfter: 1500 * time.Millisecond}
	_, err := client.Chat.Completions.New(context.Background(), chatParams("hello"))
	var api *openai.Error
	if !errors.As(err, &api) || api.StatusCode != http.StatusServiceUnavailable || api.Code != dispatch.CodeOverloaded || api.Response.Header.Get("Retry-After") != "2" {
		t.Fatalf("shed: %v", err)
	}
	h.scheduler.shed = nil
	for _, e := range h.engines {
		e.SetFaults(enginestandin.Faults{CutAfter: 3})
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("cut length=30"))
	tokens := 0
	for stream.Next() {
		tokens++
	}
	if stream.Err() == nil || !strings.Contains(stream.Err().Error(), "crashed repeatedly") {
		t.Errorf("cut stream: %v after %d chunks", stream.Err(), tokens)
	}
	r, body := h.post(t, "/v1/chat/completions", "", chat("cut again length=30", true, ""))
	if s := parseStream(t, body); s.done || s.error == "" || outcome(r) != "failed" {
		t.Errorf("cut stream: outcome %q, got %+v", outcome(r), s)
	}
}
