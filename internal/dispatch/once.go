package dispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// maxKeptAnswer bounds an answer in a ledger record.
	maxKeptAnswer = 64 << 10
	// ledgerTimeout bounds one call of the ledger. It exceeds the ledger's own limit, after which the
	// ledger says whether anything was recorded.
	ledgerTimeout = 10 * time.Second
	// runLimit bounds a non-idempotent attempt whose caller is gone. It goes on, because its record
	// must get the outcome.
	runLimit = 5 * time.Minute
	// waitLimit bounds the wait for another request with the same key; minWait is the least wait.
	waitLimit = 30 * time.Second
	minWait   = time.Second
	// pollStart and pollMax bound the pause between two lookups of a running request.
	pollStart = 50 * time.Millisecond
	pollMax   = time.Second
	// abortTries bounds the attempts to remove an intent that was not sent.
	abortTries = 5
)

// once runs a non-idempotent request at most once.
func (r *run) once(ctx context.Context) Result {
	if r.d.o.Ledger == nil {
		return Result{Outcome: NotRun, Err: ledgerDown("no ledger is configured")}
	}
	b := newBooking(r)
	if res := b.earlier(ctx); res != nil {
		return *res
	}
	r.prepare = b.begin
	v := r.attempts(ctx)
	defer r.awaitAnnounced()
	defer b.cancel()
	if b.blocked != nil {
		return *b.blocked
	}
	return b.conclude(ctx, v)
}

// booking is the at-most-once side of a run.
type booking struct {
	run    *run
	key    []byte
	digest []byte
	begun  bool
	// detached is the context of attempts after the intent was recorded. It outlives the caller.
	detached context.Context
	cancel   context.CancelFunc
	// blocked is the result when the intent could not be recorded.
	blocked *Result
}

func newBooking(r *run) *booking {
	h := sha256.New()
	h.Write([]byte(r.r.target() + "\x00"))
	h.Write(r.r.Body)
	return &booking{run: r, key: LedgerKey(r.r.Workspace, r.r.Route, r.r.IdempotencyKey), digest: h.Sum(nil), cancel: func() {}}
}

// LedgerKey returns the ledger key of a request: the digest of workspace, route and idempotency key.
// An operator who settles a request finds its record by the same key.
func LedgerKey(workspace, route, idempotencyKey string) []byte {
	h := sha256.New()
	for _, part := range []string{workspace, route, idempotencyKey} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return h.Sum(nil)
}

// call sends one request to the ledger. A nil reply means that nothing was recorded or read.
func (b *booking) call(ctx context.Context, action peer.LedgerRequest_Action, record *peer.LedgerRecord) *peer.LedgerReply {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	reply, err := b.run.d.o.Ledger.Do(ctx, &peer.LedgerRequest{
		Action: action, Key: b.key,
		BodyDigest: b.digest, RequestId: b.run.r.AttemptID, MemberId: b.run.d.o.MemberID, Record: record,
	})
	if err != nil {
		b.run.d.o.Log.Debug("ledger", "action", action.String(), "error", err)
		return nil
	}
	if reply.Result == peer.LedgerReply_RESULT_UNAVAILABLE || reply.Result == peer.LedgerReply_RESULT_NOT_OWNER {
		return nil
	}
	return reply
}

func (b *booking) record(state peer.LedgerRecord_State) *peer.LedgerRecord {
	return &peer.LedgerRecord{
		State: state, RequestId: b.run.r.AttemptID, MemberId: b.run.d.o.MemberID,
		MemberIncarnation: b.run.d.o.Incarnation, BodyDigest: b.digest,
		BegunUnixMs: b.run.r.Arrival.UnixMilli(),
	}
}

// begin records the intent to send. From then on only this daemon may send the request. It is repeated
// before each attempt: while a refused request waits for another slot, an operator may settle it.
func (b *booking) begin(ctx context.Context) (context.Context, *verdict) {
	reply := b.call(ctx, peer.LedgerRequest_ACTION_BEGIN, b.record(peer.LedgerRecord_STATE_INTENT))
	switch {
	case reply != nil && reply.Result == peer.LedgerReply_RESULT_BEGUN:
		b.begun = true
		if ctx.Err() != nil {
			return nil, b.run.canceled(ctx)
		}
		if b.detached == nil {
			b.detached, b.cancel = context.WithTimeout(context.WithoutCancel(ctx), runLimit)
		}
		return b.detached, nil
	case reply == nil && !b.begun:
		b.blocked = &Result{Outcome: NotRun, Err: ledgerDown("the intent could not be recorded")}
	case reply == nil || reply.Result == peer.LedgerReply_RESULT_UNKNOWN:
		b.abort()
		b.blocked = b.notSent(ctx, ledgerDown("it is not known whether the intent is recorded"))
	default:
		b.blocked = b.duplicate(ctx, reply)
	}
	return nil, &verdict{}
}

// conclude records the outcome and then answers the caller.
func (b *booking) conclude(ctx context.Context, v verdict) Result {
	switch {
	case !b.begun:
		return *b.notSent(ctx, v.err)
	case v.complete:
		b.finish(v)
		return b.run.deliver(v)
	case !b.run.started:
		b.abort()
		return Result{Outcome: NotRun, Err: v.err}
	}
	return Result{Outcome: Unknown, Err: unknown("the request was sent and its answer was lost")}
}

// notSent answers a request that this daemon did not send. The key is looked up once more, because a
// request with the same key may have run elsewhere meanwhile; then the caller is not told "not run".
func (b *booking) notSent(ctx context.Context, e *Error) *Result {
	reply := b.call(context.WithoutCancel(ctx), peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_EXISTS && reply.Record.GetRequestId() != b.run.r.AttemptID &&
		reply.Record.GetState() != peer.LedgerRecord_STATE_NOT_RUN {
		return b.duplicate(ctx, reply)
	}
	return &Result{Outcome: NotRun, Err: e}
}

// finish stores the answer. When that fails the record stays an intent: a duplicate is told that the
// outcome is unknown, and nothing runs again.
func (b *booking) finish(v verdict) {
	record := b.record(peer.LedgerRecord_STATE_DONE)
	record.FinishedUnixMs = time.Now().UnixMilli()
	record.Status = int32(v.status)
	l := b.run.relay
	l.mu.Lock()
	if l.header != nil {
		record.ContentType = l.header.Get("Content-Type")
	}
	if !l.started && len(l.body) <= maxKeptAnswer {
		record.Answer = append([]byte(nil), l.body...)
		record.AnswerKept = true
	}
	l.mu.Unlock()
	reply := b.call(context.Background(), peer.LedgerRequest_ACTION_FINISH, record)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_DONE {
		return
	}
	b.repeat(peer.LedgerRequest_ACTION_FINISH, record)
}

// abort removes the intent of a request that was certainly not sent.
func (b *booking) abort() { b.repeat(peer.LedgerRequest_ACTION_ABORT, nil) }

// repeat changes the record in the background until the ledger confirms it.
func (b *booking) repeat(action peer.LedgerRequest_Action, record *peer.LedgerRecord) {
	b.run.d.running.Add(1)
	go func() {
		defer b.run.d.running.Add(-1)
		pause := pollStart
		for range abortTries {
			reply := b.call(context.Background(), action, record)
			if reply != nil && reply.Result != peer.LedgerReply_RESULT_UNKNOWN {
				return
			}
			time.Sleep(pause)
			pause = min(2*pause, pollMax)
		}
		b.run.d.o.Log.Warn("ledger record not updated", "action", action.String(), "request", b.run.r.AttemptID)
	}()
}

func ledgerDown(message string) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeLedgerDown, Message: message, RetryAfter: time.Second}
}

func unknown(message string) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeUnknown, Message: message + "; it is not repeated"}
}
