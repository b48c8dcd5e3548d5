// Package engine sends attempts to model engines that offer the OpenAI-compatible API: chat
// completions and completions, plain and as server-sent events.
//
// Optional features of an engine are stated as capabilities in config.Endpoint:
//
//   - priority: the body's field "priority" orders requests; a lower value runs earlier.
//   - resume: each token event has an SSE id that numbers the answer's tokens from 1, and a request
//     with Last-Event-ID and the partial answer continues after that token.
//   - load and cache_events: GET /load returns load and cache events as JSON.
package engine

import (
	"bytes"
	"context"
	"errors"
	"mime"
	"net/http"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/httpclient"
)

func init() { chivewind.Register(&Kind{}) }

// Kind is the module endpoint.engine.
type Kind struct {
	client *httpclient.Client
}

var (
	_ chivewind.Module      = (*Kind)(nil)
	_ chivewind.Provisioner = (*Kind)(nil)
	_ endpoint.Kind         = (*Kind)(nil)
	_ endpoint.LoadReporter = (*Kind)(nil)
)

// New returns a kind that is ready for use.
func New() *Kind { return &Kind{client: httpclient.New()} }

// ModuleInfo implements chivewind.Module.
func (*Kind) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{ID: "endpoint.engine", New: func() chivewind.Module { return &Kind{} }}
}

// Provision implements chivewind.Provisioner.
func (k *Kind) Provision(*chivewind.Context) error {
	k.client = httpclient.New()
	return nil
}

// Do implements endpoint.Kind. Each attempt uses a fresh connection: an idle connection can have
// gone silent or can be closed by the engine at the moment of sending, and cancellation closes the
// connection in any case.
func (k *Kind) Do(ctx context.Context, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	req, err := request(a)
	if err != nil {
		return endpoint.Result{Err: err}
	}
	t, r := endpoint.Begin(ctx, k.client, req, a, true)
	if t == nil {
		return r
	}
	defer t.Close()
	if t.Response.StatusCode != http.StatusOK || !isEventStream(t.Response) {
		return t.CopyBody(s)
	}
	if err := s.Head(t.Response.StatusCode, t.Response.Header); err != nil {
		return t.SinkFailed(err)
	}
	return relay(t, a, s)
}

// request builds the attempt's HTTP request.
func request(a *endpoint.Attempt) (*http.Request, error) {
	body, err := attemptBody(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, a.Endpoint.URL+a.Request.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(endpoint.HeaderRequestID, a.Request.ID)
	if a.Request.Stream || a.Assemble {
		req.Header.Set("Accept", "text/event-stream")
	}
	if a.Tokens > 0 {
		req.Header.Set("Last-Event-ID", lastEventID(a.Tokens))
	}
	return req, nil
}

func isEventStream(r *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

var errEvent = errors.New("engine sent an error event")

// relay hands the stream's events to the sink until the end marker.
func relay(t *endpoint.Transfer, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	reader := newReader(t.Response.Body)
	defer reader.release()
	numbered := a.Endpoint.Has(config.CapResume)
	tokens := a.Tokens
	for {
		ev, err := reader.next()
		if err != nil {
			return t.Fail(err)
		}
		if bytes.Equal(ev.data, doneMarker) {
			return t.Complete()
		}
		if ev.failed() {
			return t.Reject(errEvent)
		}
		out := endpoint.Event{Data: ev.data}
		out.Kind, out.Text = classify(ev.data, reader.text[:0])
		// Only tokens restart the limit: other events do not show that the engine makes progress.
		token := out.Kind&endpoint.EventToken != 0
		if token {
			t.Pause()
			t.Token()
			tokens++
			out.Index = tokens
			if numbered && ev.id > 0 {
				out.Index = ev.id
			}
		}
		if err := s.Event(out); err != nil {
			return t.SinkFailed(err)
		}
		if !reader.buffered() {
			if err := s.Flush(); err != nil {
				return t.SinkFailed(err)
			}
		}
		if token {
			t.Continue()
		}
	}
}
