package front

import (
	"context"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
)

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
