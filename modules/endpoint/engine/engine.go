// Package engine sends attempts to model engines with an OpenAI-compatible API: chat completions and
// completions, as a single response or as server-sent events.
//
// Optional features of an engine are declared as capabilities in config.Endpoint:
//
//   - priority: the field "priority" of the request body orders requests; lower values run earlier.
//   - resume: the SSE id of a token event is the number of the token in the response, counted from 1,
//     and a request with Last-Event-ID and the partial response continues after that token.
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

// New returns a Kind that is ready for use without Provision.
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

// Do implements endpoint.Kind. Each attempt uses a new connection: an idle connection may have become
// unresponsive or may be closed by the engine while the request is sent, and cancellation closes the
// connection in any case.
func (k *Kind) Do(ctx context.Context, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	req, err := newRequest(a)
	if err != nil {
		return endpoint.Result{Err: err}
	}
	t, r := endpoint.StartTransfer(ctx, k.client, req, a, true)
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
	return relayEvents(t, a, s)
}

// newRequest builds the attempt's HTTP request.
func newRequest(a *endpoint.Attempt) (*http.Request, error) {
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

var errErrorEvent = errors.New("engine sent an error event")

// relayEvents passes the events of the stream to the sink until the end marker.
func relayEvents(t *endpoint.Transfer, a *endpoint.Attempt, s endpoint.Sink) endpoint.Result {
	reader := newEventReader(t.Response.Body)
	defer reader.release()
	hasTokenIDs := a.Endpoint.Has(config.CapResume)
	tokens := a.Tokens
	for {
		ev, err := reader.next()
		if err != nil {
			return t.Fail(err)
		}
		if bytes.Equal(ev.data, doneMarker) {
			return t.Complete()
		}
		if ev.isError() {
			return t.Reject(errErrorEvent)
		}
		out := endpoint.Event{Data: ev.data}
		out.Kind, out.Text = classify(ev.data, reader.textScratch[:0])
		// Only token events restart the time limit, since other events do not show that the engine makes
		// progress. The timer is stopped while the sink handles a token, so that a client that reads slowly
		// does not cause a timeout of the engine.
		token := out.Kind&endpoint.EventToken != 0
		if token {
			t.StopTimer()
			t.CountToken()
			tokens++
			out.Index = tokens
			if hasTokenIDs && ev.id > 0 {
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
			t.RestartTimer()
		}
	}
}
