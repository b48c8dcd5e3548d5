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
	// maxBufferedResponse is the size up to which an answer is held until it is complete, so that one that breaks
	// can still be replaced.
	maxBufferedResponse = 512 << 10
	// streamBufferSize is the size of one read of a stream.
	streamBufferSize = 8 << 10
	// maxEventSize bounds one event of a stream.
	maxEventSize = 1 << 20
	// writeGrace is how long after a request's deadline the caller may take to read what was sent.
	writeGrace = time.Second
)

// eventTerminator ends an event of a stream.
var eventTerminator = []byte("\n\n")

// responseRelay writes an endpoint's answer to the caller. A stream that breaks may go on with another endpoint's
// answer; the caller gets whole events only.
type responseRelay struct {
	w   http.ResponseWriter
	s   *Server
	req *request
	// started says that the head of the answer was written.
	started   bool
	status    int
	lastEvent string
	lastWrite time.Time
}

// copyResponse relays one endpoint's answer.
func (a *responseRelay) copyResponse(ctx context.Context, resp *upstream.Response, head Answer, t *placedAttempt) attemptResult {
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !head.Stamped {
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: "an answer without the endpoint's stamp"}
	}
	if a.req.route.Stream && success {
		return a.copyStream(ctx, resp, t)
	}
	return a.copyBuffered(ctx, resp, t, success)
}

// copyBuffered relays an answer that is not a stream.
func (a *responseRelay) copyBuffered(ctx context.Context, resp *upstream.Response, t *placedAttempt, success bool) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedResponse))
	a.s.recordEvent(t)
	if err != nil {
		return a.responseBroken(ctx, err)
	}
	if a.started {
		// A stream was resumed and the endpoint refused to go on.
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d for a resumed stream", resp.Status)}
	}
	if resp.Status >= http.StatusInternalServerError && a.mayRetry() {
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d", resp.Status)}
	}
	a.req.firstEvent = time.Since(a.req.arrival)
	h := a.w.Header()
	a.s.opts.Wire.CallerHeader(h, resp.Header)
	if len(body) < maxBufferedResponse {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writeHead(resp.Status)
	if _, err := a.w.Write(body); err == nil && len(body) == maxBufferedResponse {
		_, err = io.Copy(a.w, resp)
		if err != nil {
			resp.Close()
			return attemptResult{outcome: placement.Failed, completion: &completion{status: resp.Status, reason: ResponseTruncated, detail: err.Error(), cut: true}}
		}
	}
	outcome, reason := placement.Served, Served
	if !success {
		outcome, reason = placement.Failed, EndpointError
	}
	return attemptResult{outcome: outcome, completion: &completion{status: resp.Status, reason: reason}}
}

// mayRetry says whether a failed answer of an endpoint can be replaced by another endpoint's.
func (a *responseRelay) mayRetry() bool {
	req := a.req
	return req.route.Idempotence != traffic.AtMostOnce && req.sends < req.route.MaxAttempts &&
		time.Until(req.deadline) > minRemaining && a.s.retryAvailable(req)
}

// writeHead writes the head of the answer.
func (a *responseRelay) writeHead(status int) {
	a.started, a.status = true, status
	// The deadline ends a write to a caller that does not read.
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.req.deadline.Add(writeGrace))
	a.w.WriteHeader(status)
}

// copyStream relays events as they arrive.
func (a *responseRelay) copyStream(ctx context.Context, resp *upstream.Response, t *placedAttempt) attemptResult {
	buffer := make([]byte, streamBufferSize)
	var pending []byte
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		ready := bytes.LastIndex(pending, eventTerminator) + len(eventTerminator)
		if ready < len(eventTerminator) {
			ready = 0
		}
		if err == io.EOF {
			ready = len(pending)
		}
		if ready > 0 {
			a.s.recordEvent(t)
			if werr := a.forwardEvents(resp, pending[:ready]); werr != nil {
				resp.Close()
				return attemptResult{outcome: placement.Abandoned, completion: &completion{status: a.status, reason: CallerLeft, cut: true}}
			}
			pending = append(pending[:0], pending[ready:]...)
		}
		switch {
		case err == io.EOF:
			if !a.started {
				a.startStream(resp)
			}
			return attemptResult{outcome: placement.Served, completion: &completion{status: resp.Status, reason: Served}}
		case err != nil:
			return a.responseBroken(ctx, err)
		case len(pending) > maxEventSize:
			resp.Close()
			return attemptResult{outcome: placement.Failed, sent: true, cause: "an event is too long"}
		}
	}
}

func (a *responseRelay) startStream(resp *upstream.Response) {
	a.s.opts.Wire.CallerHeader(a.w.Header(), resp.Header)
	a.writeHead(resp.Status)
}

// forwardEvents writes whole events to the caller.
func (a *responseRelay) forwardEvents(resp *upstream.Response, events []byte) error {
	now := time.Now()
	if !a.started {
		// The head waits for the first event, so that a run that breaks before it can be replaced.
		a.startStream(resp)
		a.req.firstEvent = now.Sub(a.req.arrival)
	} else {
		a.req.longestGap = max(a.req.longestGap, now.Sub(a.lastWrite))
	}
	a.lastWrite = now
	a.req.events += bytes.Count(events, eventTerminator)
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

// responseBroken handles an answer that ended early. Only a stream that may be resumed goes on after its head was
// written.
func (a *responseRelay) responseBroken(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		e := a.s.contextEnded(ctx, a.req)
		return attemptResult{outcome: placement.Abandoned, completion: &e}
	}
	res := attemptResult{outcome: placement.Failed, sent: true, cause: "the answer broke off: " + err.Error()}
	if errors.Is(err, io.ErrUnexpectedEOF) || upstream.Reset(err) {
		res.outcome = placement.Unreachable
	}
	if a.started && a.req.route.Idempotence != traffic.Resumable {
		res.completion = &completion{status: a.status, reason: ResponseTruncated, detail: res.cause, cut: true}
	}
	return res
}
