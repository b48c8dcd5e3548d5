package front

import (
	"context"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
)

// resolver validates a client's request and determines its workspace, class and pool.
type resolver func(http.ResponseWriter, *http.Request, *requestBody) (*dispatch.Request, *dispatch.Error)

// serve returns a handler that runs the requests accepted by resolve and rejects the others.
func (f *Front) serve(resolve resolver) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrival := time.Now()
		id := requestID(r)
		w.Header().Set(HeaderRequestID, id)
		body := &requestBody{}
		// The memory of the body is released when the handler returns, whatever happens in it.
		defer body.release()
		req, e := resolve(w, r, body)
		if e != nil {
			f.reject(w, r, body, e)
			return
		}
		req.ID = id
		req.Arrival = arrival
		f.run(w, r, req)
	}
}

// run passes a request to the dispatcher and finishes the response.
func (f *Front) run(w http.ResponseWriter, r *http.Request, req *dispatch.Request) {
	deadline, e := requestDeadline(r, req.Class, req.Arrival)
	if e != nil {
		writeError(w, e, dispatch.NotRun)
		return
	}
	req.Deadline = deadline
	req.InternalID = newID()
	out := &response{
		w: w, control: http.NewResponseController(w), writeTimeout: f.options.Limits.WriteStallTimeout.D(),
		stream: req.Stream, lastWrite: time.Now(),
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	keepAliveDone := make(chan struct{})
	if req.Stream {
		go f.keepAlive(ctx, cancel, out, keepAliveDone)
	} else {
		close(keepAliveDone)
	}
	res := f.options.Dispatcher.Do(ctx, req, out)
	cancel()
	<-keepAliveDone
	out.finish(res)
}

// keepAlive sends SSE comments while the stream is idle. If a write fails, because the client has
// disconnected or stopped reading, it cancels the request.
func (f *Front) keepAlive(ctx context.Context, cancel context.CancelFunc, out *response, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(f.options.KeepAlive)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if out.keepAlive(f.options.KeepAlive) != nil {
			cancel()
			return
		}
	}
}
