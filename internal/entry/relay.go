package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// wholeAnswer is the size up to which an answer is held until it is complete, so that one that breaks
	// can still be replaced.
	wholeAnswer = 512 << 10
	// streamBuffer is the size of one read of a stream.
	streamBuffer = 8 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// writeGrace is how long after a request's deadline the caller may take to read what was sent.
	writeGrace = time.Second
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// relay writes an endpoint's answer to the caller. A stream that breaks may go on with another endpoint's
// answer; the caller gets whole events only.
type relay struct {
	w   http.ResponseWriter
	s   *Server
	req *request
	// started says that the head of the answer was written.
	started   bool
	status    int
	lastEvent string
	progress  time.Time
}

// relay relays one endpoint's answer.
func (a *relay) relay(ctx context.Context, resp *upstream.Response, head Answer, t *placed) result {
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !head.Stamped {
		resp.Close()
		return result{outcome: placement.Failed, sent: true, cause: "an answer without the endpoint's stamp"}
	}
	if a.req.route.Stream && success {
		return a.stream(ctx, resp, t)
	}
	return a.whole(ctx, resp, t, success)
}

// whole relays an answer that is not a stream.
func (a *relay) whole(ctx context.Context, resp *upstream.Response, t *placed, success bool) result {
	body, err := io.ReadAll(io.LimitReader(resp, wholeAnswer))
	a.s.event(t)
	if err != nil {
		return a.broken(ctx, err)
	}
	if a.started {
		// A stream was resumed and the endpoint refused to go on.
		resp.Close()
		return result{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d for a resumed stream", resp.Status)}
	}
	if resp.Status >= http.StatusInternalServerError && a.mayRepeat() {
		resp.Close()
		return result{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d", resp.Status)}
	}
	a.req.firstEvent = time.Since(a.req.arrival)
	h := a.w.Header()
	a.s.o.Wire.CallerHeader(h, resp.Header)
	if len(body) < wholeAnswer {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.begin(resp.Status)
	if _, err := a.w.Write(body); err == nil && len(body) == wholeAnswer {
		_, err = io.Copy(a.w, resp)
		if err != nil {
			resp.Close()
			return result{outcome: placement.Failed, end: &end{status: resp.Status, reason: AnswerBroke, detail: err.Error(), cut: true}}
		}
	}
	outcome, reason := placement.Served, Served
	if !success {
		outcome, reason = placement.Failed, EndpointError
	}
	return result{outcome: outcome, end: &end{status: resp.Status, reason: reason}}
}

// mayRepeat says whether a failed answer of an endpoint can be replaced by another endpoint's.
func (a *relay) mayRepeat() bool {
	req := a.req
	return req.route.Idempotence != traffic.AtMostOnce && req.sends < req.route.MaxAttempts &&
		time.Until(req.deadline) > minUseful && a.s.retryLeft(req)
}

// begin writes the head of the answer.
func (a *relay) begin(status int) {
	a.started, a.status = true, status
	// The deadline ends a write to a caller that does not read.
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.req.deadline.Add(writeGrace))
	a.w.WriteHeader(status)
}

// stream relays events as they arrive.
func (a *relay) stream(ctx context.Context, resp *upstream.Response, t *placed) result {
	buffer := make([]byte, streamBuffer)
	var pending []byte
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ready := bytes.LastIndex(pending, eventEnd) + len(eventEnd)
		if ready < len(eventEnd) {
			ready = 0
		}
		if err == io.EOF {
			ready = len(pending)
		}
		if ready > 0 {
			a.s.event(t)
			if werr := a.forwardEvents(resp, pending[:ready]); werr != nil {
				resp.Close()
				return result{outcome: placement.Abandoned, end: &end{status: a.status, reason: CallerLeft, cut: true}}
			}
			pending = append(pending[:0], pending[ready:]...)
		}
		switch {
		case err == io.EOF:
			if !a.started {
				a.head(resp)
			}
			return result{outcome: placement.Served, end: &end{status: resp.Status, reason: Served}}
		case err != nil:
			return a.broken(ctx, err)
		case len(pending) > maxEvent:
			resp.Close()
			return result{outcome: placement.Failed, sent: true, cause: "an event is too long"}
		}
	}
}

func (a *relay) head(resp *upstream.Response) {
	a.s.o.Wire.CallerHeader(a.w.Header(), resp.Header)
	a.begin(resp.Status)
}

// forwardEvents writes whole events to the caller.
func (a *relay) forwardEvents(resp *upstream.Response, events []byte) error {
	now := time.Now()
	if !a.started {
		// The head waits for the first event, so that a run that breaks before it can be replaced.
		a.head(resp)
		a.req.firstEvent = now.Sub(a.req.arrival)
	} else {
		a.req.longestGap = max(a.req.longestGap, now.Sub(a.progress))
	}
	a.progress = now
	a.req.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		a.lastEvent = id
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte("id:")):
		i = 0
	default:
		return ""
	}
	line := events[i+len("id:"):]
	if j := bytes.IndexByte(line, '\n'); j >= 0 {
		line = line[:j]
	}
	return string(bytes.TrimSpace(line))
}

// broken handles an answer that ended early. Only a stream that may be resumed goes on after its head was
// written.
func (a *relay) broken(ctx context.Context, err error) result {
	if ctx.Err() != nil {
		e := a.s.expired(ctx, a.req)
		return result{outcome: placement.Abandoned, end: &e}
	}
	res := result{outcome: placement.Failed, sent: true, cause: "the answer broke off: " + err.Error()}
	if errors.Is(err, io.ErrUnexpectedEOF) || upstream.Reset(err) {
		res.outcome = placement.Unreachable
	}
	if a.started && a.req.route.Idempotence != traffic.Resumable {
		res.end = &end{status: a.status, reason: AnswerBroke, detail: res.cause, cut: true}
	}
	return res
}
