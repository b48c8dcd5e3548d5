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
	// maxStoredBody bounds an answer in a ledger record.
	maxStoredBody = 64 << 10
	// ledgerTimeout bounds one call of the ledger. It exceeds the ledger's own limit, after which the
	// ledger says whether anything was recorded.
	ledgerTimeout = 10 * time.Second
	// detachedTimeout bounds a non-idempotent attempt whose caller is gone. It goes on, because its record
	// must get the outcome.
	detachedTimeout = 5 * time.Minute
	// maxDuplicateWait bounds the wait for another request with the same key; minWait is the least wait.
	maxDuplicateWait = 30 * time.Second
	minDuplicateWait = time.Second
	// minPollInterval and pollMax bound the pause between two lookups of a running request.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// maxLedgerUpdates bounds the attempts to remove an intent that was not sent.
	maxLedgerUpdates = 5
)

// runAtMostOnce runs a non-idempotent request at most runAtMostOnce.
func (r *run) runAtMostOnce(ctx context.Context) Result {
	if r.dispatcher.opts.Ledger == nil {
		return Result{Outcome: NotRun, Err: ledgerUnavailableError("no ledger is configured")}
	}
	b := newAtMostOnceRun(r)
	if res := b.checkExisting(ctx); res != nil {
		return *res
	}
	r.beforeAttempt = b.recordIntent
	v := r.runAttempts(ctx)
	defer r.awaitAnnouncements()
	defer b.cancel()
	if b.blockedResult != nil {
		return *b.blockedResult
	}
	return b.finalize(ctx, v)
}

// atMostOnceRun is the at-most-once side of a run.
type atMostOnceRun struct {
	run            *run
	key            []byte
	digest         []byte
	intentRecorded bool
	// detached is the context of attempts after the intent was recorded. It outlives the caller.
	detached context.Context
	cancel   context.CancelFunc
	// blockedResult is the result when the intent could not be recorded.
	blockedResult *Result
}

func newAtMostOnceRun(r *run) *atMostOnceRun {
	h := sha256.New()
	h.Write([]byte(r.req.target() + "\x00"))
	h.Write(r.req.Body)
	return &atMostOnceRun{run: r, key: LedgerKey(r.req.Workspace, r.req.Route, r.req.IdempotencyKey), digest: h.Sum(nil), cancel: func() {}}
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

// callLedger sends one request to the ledger. A nil reply means that nothing was recorded or read.
func (b *atMostOnceRun) callLedger(ctx context.Context, action peer.LedgerRequest_Action, record *peer.LedgerRecord) *peer.LedgerReply {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	reply, err := b.run.dispatcher.opts.Ledger.Do(ctx, &peer.LedgerRequest{
		Action: action, Key: b.key,
		BodyDigest: b.digest, RequestId: b.run.req.AttemptID, MemberId: b.run.dispatcher.opts.MemberID, Record: record,
	})
	if err != nil {
		b.run.dispatcher.opts.Log.Debug("ledger", "action", action.String(), "error", err)
		return nil
	}
	if reply.Result == peer.LedgerReply_RESULT_UNAVAILABLE || reply.Result == peer.LedgerReply_RESULT_NOT_OWNER {
		return nil
	}
	return reply
}

func (b *atMostOnceRun) newRecord(state peer.LedgerRecord_State) *peer.LedgerRecord {
	return &peer.LedgerRecord{
		State: state, RequestId: b.run.req.AttemptID, MemberId: b.run.dispatcher.opts.MemberID,
		MemberIncarnation: b.run.dispatcher.opts.Incarnation, BodyDigest: b.digest,
		BegunUnixMs: b.run.req.Arrival.UnixMilli(),
	}
}

// recordIntent records the intent to send. From then on only this daemon may send the request. It is repeated
// before each attempt: while a refused request waits for another slot, an operator may settle it.
func (b *atMostOnceRun) recordIntent(ctx context.Context) (context.Context, *finalResult) {
	reply := b.callLedger(ctx, peer.LedgerRequest_ACTION_BEGIN, b.newRecord(peer.LedgerRecord_STATE_INTENT))
	switch {
	case reply != nil && reply.Result == peer.LedgerReply_RESULT_BEGUN:
		b.intentRecorded = true
		if ctx.Err() != nil {
			return nil, b.run.canceledResult(ctx)
		}
		if b.detached == nil {
			b.detached, b.cancel = context.WithTimeout(context.WithoutCancel(ctx), detachedTimeout)
		}
		return b.detached, nil
	case reply == nil && !b.intentRecorded:
		b.blockedResult = &Result{Outcome: NotRun, Err: ledgerUnavailableError("the intent could not be recorded")}
	case reply == nil || reply.Result == peer.LedgerReply_RESULT_UNKNOWN:
		b.removeIntent()
		b.blockedResult = b.notSentResult(ctx, ledgerUnavailableError("it is not known whether the intent is recorded"))
	default:
		b.blockedResult = b.awaitDuplicate(ctx, reply)
	}
	return nil, &finalResult{}
}

// finalize records the outcome and then answers the caller.
func (b *atMostOnceRun) finalize(ctx context.Context, v finalResult) Result {
	switch {
	case !b.intentRecorded:
		return *b.notSentResult(ctx, v.err)
	case v.complete:
		b.recordOutcome(v)
		return b.run.deliver(v)
	case !b.run.mayHaveRun:
		b.removeIntent()
		return Result{Outcome: NotRun, Err: v.err}
	}
	return Result{Outcome: Unknown, Err: outcomeUnknownError("the request was sent and its answer was lost")}
}

// notSentResult answers a request that this daemon did not send. The key is looked up once more, because a
// request with the same key may have run elsewhere meanwhile; then the caller is not told "not run".
func (b *atMostOnceRun) notSentResult(ctx context.Context, e *Error) *Result {
	reply := b.callLedger(context.WithoutCancel(ctx), peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_EXISTS && reply.Record.GetRequestId() != b.run.req.AttemptID &&
		reply.Record.GetState() != peer.LedgerRecord_STATE_NOT_RUN {
		return b.awaitDuplicate(ctx, reply)
	}
	return &Result{Outcome: NotRun, Err: e}
}

// recordOutcome stores the answer. When that fails the record stays an intent: a duplicate is told that the
// outcome is unknown, and nothing runs again.
func (b *atMostOnceRun) recordOutcome(v finalResult) {
	record := b.newRecord(peer.LedgerRecord_STATE_DONE)
	record.FinishedUnixMs = time.Now().UnixMilli()
	record.Status = int32(v.status)
	l := b.run.relay
	l.mu.Lock()
	if l.header != nil {
		record.ContentType = l.header.Get("Content-Type")
	}
	if !l.headerSent && len(l.body) <= maxStoredBody {
		record.Answer = append([]byte(nil), l.body...)
		record.AnswerKept = true
	}
	l.mu.Unlock()
	reply := b.callLedger(context.Background(), peer.LedgerRequest_ACTION_FINISH, record)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_DONE {
		return
	}
	b.retryUpdate(peer.LedgerRequest_ACTION_FINISH, record)
}

// removeIntent removes the intent of a request that was certainly not sent.
func (b *atMostOnceRun) removeIntent() { b.retryUpdate(peer.LedgerRequest_ACTION_ABORT, nil) }

// retryUpdate changes the record in the background until the ledger confirms it.
func (b *atMostOnceRun) retryUpdate(action peer.LedgerRequest_Action, record *peer.LedgerRecord) {
	b.run.dispatcher.running.Add(1)
	go func() {
		defer b.run.dispatcher.running.Add(-1)
		pause := minPollInterval
		for range maxLedgerUpdates {
			reply := b.callLedger(context.Background(), action, record)
			if reply != nil && reply.Result != peer.LedgerReply_RESULT_UNKNOWN {
				return
			}
			time.Sleep(pause)
			pause = min(2*pause, maxPollInterval)
		}
		b.run.dispatcher.opts.Log.Warn("ledger record not updated", "action", action.String(), "request", b.run.req.AttemptID)
	}()
}

func ledgerUnavailableError(message string) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeLedgerUnavailable, Message: message, RetryAfter: time.Second}
}

func outcomeUnknownError(message string) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeOutcomeUnknown, Message: message + "; it is not repeated"}
}
