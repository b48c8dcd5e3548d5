package front

import (
	"context"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
)

// resolver checks a caller's request and finds its workspace, class and pool.
type resolver func(http.ResponseWriter, *http.Request) (*dispatch.Request, *dispatch.Error)

// serve returns the handler of the requests that a resolver accepts.
func (f *Front) serve(resolve resolver) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrival := time.Now()
		id := requestID(r)
		w.Header().Set(HeaderRequestID, id)
		req, e := resolve(w, r)
		if e != nil {
			writeError(w, e, dispatch.NotRun)
			return
		}
		req.ID = id
		req.Arrival = arrival
		f.run(w, r, req)
	}
}

// run hands a request to the dispatcher and ends the caller's answer.
func (f *Front) run(w http.ResponseWriter, r *http.Request, req *dispatch.Request) {
	end, e := deadline(r, req.Class, req.Arrival)
	if e != nil {
		writeError(w, e, dispatch.NotRun)
		return
	}
	req.Deadline = end
	req.AttemptID = newID()
	out := &response{
		w: w, c: http.NewResponseController(w), stall: f.o.Limits.WriteStall.D(),
		stream: req.Stream, written: time.Now(),
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stopped := make(chan struct{})
	if req.Stream {
		go f.keepAlive(ctx, cancel, out, stopped)
	} else {
		close(stopped)
	}
	res := f.o.Dispatcher.Do(ctx, req, out)
	cancel()
	<-stopped
	out.end(res)
}

// keepAlive sends comments while the stream waits. A caller that cannot be written to is gone.
func (f *Front) keepAlive(ctx context.Context, cancel context.CancelFunc, out *response, stopped chan<- struct{}) {
	defer close(stopped)
	t := time.NewTicker(f.o.KeepAlive)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if out.keepAlive(f.o.KeepAlive) != nil {
			cancel()
			return
		}
	}
}
