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
	"github.com/chivewind/chivewind/internal/reqmem"
	"github.com/chivewind/chivewind/internal/upstream"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// maxBufferedResponse is the size, in bytes, up to which a response is buffered until it is complete, so that
	// another attempt can replace a truncated one.
	maxBufferedResponse = 128 << 10
	// shortBufferedResponse is that size while the memory for requests is short. Responses of ordinary size fit.
	shortBufferedResponse = 16 << 10
	// streamBufferSize is the size of the read buffer for streams, in bytes.
	streamBufferSize = 8 << 10
	// maxEventSize is the maximum size of one event of a stream, in bytes.
	maxEventSize = 128 << 10
	// writeGrace is the time after the request's deadline in which the caller may still read the response.
	writeGrace = time.Second
)

// eventTerminators are the ends of a server-sent event: a blank line after a line.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// completeEvents returns the length of the events in b that are complete.
func completeEvents(b []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// insideEvent reports whether a stream that ends with b, which has no complete event, has broken off: b has lines other
// than blank ones and comments.
func insideEvent(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// responseRelay relays the responses of endpoints to the caller of one request. If a resumable stream breaks, the
// response of another endpoint continues it; therefore only complete events are written to the caller.
type responseRelay struct {
	w   http.ResponseWriter
	s   *Server
	req *request
	// started is set when the response header has been written, and status is its status.
	started bool
	status  int
	// lastEvent is the ID of the last event that was written.
	lastEvent string
	// lastWrite is the time of the last write of events.
	lastWrite time.Time
}

// copyResponse relays the response of one endpoint.
func (r *responseRelay) copyResponse(ctx context.Context, resp *upstream.Response, info ResponseInfo, placed *placedAttempt) attemptResult {
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !info.Authenticated {
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: "response without the endpoint's authentication code"}
	}
	if promisesNotRun(resp.Status) {
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d without the endpoint's statement that it did not execute the request", resp.Status)}
	}
	if r.req.route.Stream && success {
		return r.copyStream(ctx, resp, placed)
	}
	if !r.req.route.Stream {
		r.s.opts.Usage.Count(time.Now(), r.req.workspace.Name)
	}
	return r.copyBuffered(ctx, resp, placed, success)
}

// promisesNotRun reports whether callers take a status for the promise that the request has not been executed and never
// will be. An endpoint's response with such a status must not be relayed unless it states the same (ResponseInfo.NotRun):
// it may come from a proxy that lost the connection to an endpoint which executes the request.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readBuffered reads a response up to maxBufferedResponse or, if the memory for requests is short, shortBufferedResponse.
// complete reports whether that is all of it. release must be called when the response has been written.
func (r *responseRelay) readBuffered(resp *upstream.Response) (body []byte, complete bool, release func(), err error) {
	release = func() {}
	body, err = io.ReadAll(io.LimitReader(resp, shortBufferedResponse))
	if err != nil || len(body) < shortBufferedResponse {
		return body, true, release, err
	}
	// While io.ReadAll grows its buffer it holds up to twice the size.
	const needed = 2 * maxBufferedResponse
	if !r.s.memory.Fits(needed) {
		return body, false, release, nil
	}
	release = r.s.holdResponse(needed)
	rest, err := io.ReadAll(io.LimitReader(resp, maxBufferedResponse-shortBufferedResponse))
	body = append(body, rest...)
	return body, len(body) < maxBufferedResponse, release, err
}

// copyBuffered relays a response that is not an event stream. A response that readBuffered reads completely is written
// after that; the rest of a longer one is copied as it arrives.
func (r *responseRelay) copyBuffered(ctx context.Context, resp *upstream.Response, placed *placedAttempt, success bool) attemptResult {
	body, complete, release, err := r.readBuffered(resp)
	defer release()
	r.s.recordEvent(placed)
	if err != nil {
		return r.responseBroken(ctx, err)
	}
	if r.started {
		// The endpoint answered the attempt to resume a stream with an error.
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d for a resumed stream", resp.Status)}
	}
	if resp.Status >= http.StatusInternalServerError && r.mayRetry() {
		resp.Close()
		return attemptResult{outcome: placement.Failed, sent: true, cause: fmt.Sprintf("status %d", resp.Status)}
	}
	r.req.timeToFirstEvent = time.Since(r.req.arrival)
	h := r.w.Header()
	r.s.opts.HeaderCodec.CallerHeader(h, resp.Header)
	if complete {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writeHead(resp.Status)
	if _, err := r.w.Write(body); err == nil && !complete {
		_, err = io.Copy(r.w, resp)
		if err != nil {
			resp.Close()
			return attemptResult{outcome: placement.Failed, completion: &completion{status: resp.Status, reason: ResponseTruncated, detail: err.Error(), cut: true}}
		}
	}
	outcome, reason := placement.Served, Served
	if !success {
		outcome, reason = placement.Failed, EndpointError
	}
	return attemptResult{outcome: outcome, answered: success && !resp.EndsWithConnection, completion: &completion{status: resp.Status, reason: reason}}
}

// mayRetry reports whether another attempt may replace an error response of an endpoint.
func (r *responseRelay) mayRetry() bool {
	req := r.req
	return req.route.Idempotence != traffic.AtMostOnce && req.sends < req.route.MaxAttempts &&
		time.Until(req.deadline) > minRemaining && r.s.retryAvailable(req)
}

// writeHead writes the status line and the headers of the response.
func (r *responseRelay) writeHead(status int) {
	r.started, r.status = true, status
	// The write deadline ends writes to a caller that does not read.
	_ = http.NewResponseController(r.w).SetWriteDeadline(r.req.deadline.Add(writeGrace))
	r.w.WriteHeader(status)
}

// copyStream relays an event stream. Complete events are written as soon as they arrive.
func (r *responseRelay) copyStream(ctx context.Context, resp *upstream.Response, placed *placedAttempt) attemptResult {
	buffer := make([]byte, streamBufferSize)
	var pending []byte
	var held int64
	defer func() {
		if held > 0 {
			r.s.memory.Hold(reqmem.Response, -held)
		}
	}()
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if size := int64(cap(pending)); size > max(held, 2*streamBufferSize) {
			r.s.memory.Hold(reqmem.Response, size-held)
			held = size
		}
		ready := completeEvents(pending)
		if err == io.EOF && !insideEvent(pending[ready:]) {
			ready = len(pending)
		}
		if ready > 0 {
			if placed.firstEventAt.IsZero() {
				r.s.opts.Usage.Count(time.Now(), r.req.workspace.Name)
			}
			r.s.recordEvent(placed)
			if werr := r.forwardEvents(resp, pending[:ready]); werr != nil {
				resp.Close()
				return attemptResult{outcome: placement.Canceled, completion: &completion{status: r.status, reason: CallerDisconnected, cut: true}}
			}
			pending = append(pending[:0], pending[ready:]...)
		}
		switch {
		case err == io.EOF && (len(pending) > 0 || resp.EndsWithConnection && placed.firstEventAt.IsZero()):
			// The stream ended inside an event, or before the first one without a sign that it is complete.
			return r.responseBroken(ctx, io.ErrUnexpectedEOF)
		case err == io.EOF:
			if !r.started {
				r.startStream(resp)
			}
			return attemptResult{outcome: placement.Served, answered: !resp.EndsWithConnection, completion: &completion{status: resp.Status, reason: Served}}
		case err != nil:
			return r.responseBroken(ctx, err)
		case len(pending) > maxEventSize:
			resp.Close()
			return attemptResult{outcome: placement.Failed, sent: true, cause: "stream event exceeds the maximum size"}
		}
	}
}

// startStream writes the header of a stream.
func (r *responseRelay) startStream(resp *upstream.Response) {
	r.s.opts.HeaderCodec.CallerHeader(r.w.Header(), resp.Header)
	r.writeHead(resp.Status)
}

// forwardEvents writes complete events to the caller.
func (r *responseRelay) forwardEvents(resp *upstream.Response, events []byte) error {
	now := time.Now()
	if !r.started {
		// The header is delayed until the first event, so that a response that breaks before it can be replaced.
		r.startStream(resp)
		r.req.timeToFirstEvent = now.Sub(r.req.arrival)
	} else {
		r.req.longestGap = max(r.req.longestGap, now.Sub(r.lastWrite))
	}
	r.lastWrite = now
	for _, terminator := range eventTerminators {
		r.req.events += bytes.Count(events, terminator)
	}
	if id := lastEventID(events); id != "" {
		r.lastEvent = id
	}
	if _, err := r.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// lastEventID returns the ID of the last event that has one, or "" if none has.
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

// responseBroken returns the result of an attempt whose response ended early. Once the header has been written, the
// request can only continue if its stream is resumable.
func (r *responseRelay) responseBroken(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		end := r.s.contextEnded(ctx, r.req)
		return attemptResult{outcome: placement.Canceled, completion: &end}
	}
	res := attemptResult{outcome: placement.Failed, sent: true, cause: "response ended early: " + err.Error()}
	if errors.Is(err, io.ErrUnexpectedEOF) || upstream.IsConnectionReset(err) {
		res.outcome = placement.Unreachable
	}
	if r.started && r.req.route.Idempotence != traffic.Resumable {
		res.completion = &completion{status: r.status, reason: ResponseTruncated, detail: res.cause, cut: true}
	}
	return res
}
