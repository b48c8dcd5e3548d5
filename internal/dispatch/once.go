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
	// maxStoredBody is the size in bytes up to which a response is stored in its ledger record.
	maxStoredBody = 64 << 10
	// ledgerTimeout limits one ledger call. It exceeds the ledger's own timeout, after which the ledger
	// states whether anything was recorded.
	ledgerTimeout = 10 * time.Second
	// detachedTimeout limits the attempts of a non-idempotent request after its intent was recorded. They
	// continue when the caller disconnects, because the outcome must be recorded.
	detachedTimeout = 5 * time.Minute
	// maxDuplicateWait and minDuplicateWait bound the time that a request waits for another one with the
	// same key.
	maxDuplicateWait = 30 * time.Second
	minDuplicateWait = time.Second
	// minPollInterval and maxPollInterval bound the backoff between two ledger calls for one request.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// maxLedgerUpdateAttempts limits the attempts to make one ledger update in the background.
	maxLedgerUpdateAttempts = 5
)

// runAtMostOnce runs a non-idempotent request at most once.
func (r *run) runAtMostOnce(ctx context.Context) Result {
	if r.dispatcher.opts.Ledger == nil {
		return Result{Outcome: NotRun, Err: ledgerUnavailableError("no ledger is configured")}
	}
	once := newAtMostOnceRun(r)
	if res := once.checkExisting(ctx); res != nil {
		return *res
	}
	r.beforeAttempt = once.recordIntent
	final := r.runAttempts(ctx)
	defer r.awaitAnnouncements()
	defer once.cancel()
	if once.blockedResult != nil {
		return *once.blockedResult
	}
	return once.finalize(ctx, final)
}

// atMostOnceRun is the ledger state of a non-idempotent request.
type atMostOnceRun struct {
	run            *run
	key            []byte
	digest         []byte
	intentRecorded bool
	// detached is the context of attempts after the intent was recorded. It is not canceled when the
	// caller disconnects.
	detached context.Context
	cancel   context.CancelFunc
	// blockedResult is set when recordIntent prevents an attempt.
	blockedResult *Result
}

func newAtMostOnceRun(r *run) *atMostOnceRun {
	h := sha256.New()
	h.Write([]byte(r.req.target() + "\x00"))
	h.Write(r.req.Body)
	return &atMostOnceRun{
		run: r, key: LedgerKey(r.req.Workspace, r.req.Route, r.req.IdempotencyKey), digest: h.Sum(nil),
		cancel: func() {},
	}
}

// LedgerKey returns the ledger key of a request: the SHA-256 digest of workspace, route and idempotency key.
// Operators use the same key to find the record of a request that they settle.
func LedgerKey(workspace, route, idempotencyKey string) []byte {
	h := sha256.New()
	for _, part := range []string{workspace, route, idempotencyKey} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return h.Sum(nil)
}

// callLedger sends one request to the ledger. A nil reply means that nothing was read or recorded.
func (a *atMostOnceRun) callLedger(
	ctx context.Context, action peer.LedgerRequest_Action, record *peer.LedgerRecord,
) *peer.LedgerReply {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	reply, err := a.run.dispatcher.opts.Ledger.Do(ctx, &peer.LedgerRequest{
		Action: action, Key: a.key,
		BodyDigest: a.digest, RequestId: a.run.req.InternalID, MemberId: a.run.dispatcher.opts.MemberID, Record: record,
	})
	if err != nil {
		a.run.dispatcher.opts.Log.Debug("ledger call failed", "action", action.String(), "error", err)
		return nil
	}
	if reply.Result == peer.LedgerReply_RESULT_UNAVAILABLE || reply.Result == peer.LedgerReply_RESULT_NOT_OWNER {
		return nil
	}
	return reply
}

func (a *atMostOnceRun) newRecord(state peer.LedgerRecord_State) *peer.LedgerRecord {
	return &peer.LedgerRecord{
		State: state, RequestId: a.run.req.InternalID, MemberId: a.run.dispatcher.opts.MemberID,
		MemberIncarnation: a.run.dispatcher.opts.Incarnation, BodyDigest: a.digest,
		BegunUnixMs: a.run.req.Arrival.UnixMilli(),
	}
}

// recordIntent records the intent to send the request, after which only this daemon may send it. It is
// called before each attempt, because an operator may settle the request while it waits for another slot
// after a refusal.
func (a *atMostOnceRun) recordIntent(ctx context.Context) (context.Context, *finalResult) {
	reply := a.callLedger(ctx, peer.LedgerRequest_ACTION_BEGIN, a.newRecord(peer.LedgerRecord_STATE_INTENT))
	switch {
	case reply != nil && reply.Result == peer.LedgerReply_RESULT_BEGUN:
		a.intentRecorded = true
		if ctx.Err() != nil {
			return nil, a.run.canceledResult(ctx)
		}
		if a.detached == nil {
			a.detached, a.cancel = context.WithTimeout(context.WithoutCancel(ctx), detachedTimeout)
		}
		return a.detached, nil
	case reply == nil && !a.intentRecorded:
		a.blockedResult = &Result{Outcome: NotRun, Err: ledgerUnavailableError("the intent could not be recorded")}
	case reply == nil || reply.Result == peer.LedgerReply_RESULT_UNKNOWN:
		a.removeIntent()
		a.blockedResult = a.notSentResult(ctx, ledgerUnavailableError("it is not known whether the intent is recorded"))
	default:
		a.blockedResult = a.awaitDuplicate(ctx, reply)
	}
	return nil, &finalResult{}
}

// finalize records the outcome and then delivers the result to the caller.
func (a *atMostOnceRun) finalize(ctx context.Context, final finalResult) Result {
	switch {
	case !a.intentRecorded:
		return *a.notSentResult(ctx, final.err)
	case final.complete:
		a.recordOutcome(final)
		return a.run.deliver(final)
	case !a.run.mayHaveRun:
		a.removeIntent()
		return Result{Outcome: NotRun, Err: final.err}
	}
	return Result{Outcome: Unknown, Err: outcomeUnknownError("the request was sent and its answer was lost")}
}

// notSentResult returns the result of a request that this daemon did not send. It looks the key up once
// more, because a request with the same key may have run through another daemon in the meantime; in that
// case NotRun would be wrong.
func (a *atMostOnceRun) notSentResult(ctx context.Context, e *Error) *Result {
	reply := a.callLedger(context.WithoutCancel(ctx), peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_EXISTS &&
		reply.Record.GetRequestId() != a.run.req.InternalID &&
		reply.Record.GetState() != peer.LedgerRecord_STATE_NOT_RUN {
		return a.awaitDuplicate(ctx, reply)
	}
	return &Result{Outcome: NotRun, Err: e}
}

// recordOutcome stores the response in the ledger. If the first call fails, the update is retried in the
// background. Until the update succeeds, the record remains an intent: duplicates get the outcome Unknown, and
// the request is not run again.
func (a *atMostOnceRun) recordOutcome(final finalResult) {
	record := a.newRecord(peer.LedgerRecord_STATE_DONE)
	record.FinishedUnixMs = time.Now().UnixMilli()
	record.Status = int32(final.status)
	l := a.run.relay
	l.mu.Lock()
	if l.header != nil {
		record.ContentType = l.header.Get("Content-Type")
	}
	if !l.headerSent && len(l.body) <= maxStoredBody {
		record.Answer = append([]byte(nil), l.body...)
		record.AnswerKept = true
	}
	l.mu.Unlock()
	reply := a.callLedger(context.Background(), peer.LedgerRequest_ACTION_FINISH, record)
	if reply != nil && reply.Result == peer.LedgerReply_RESULT_DONE {
		return
	}
	a.retryUpdate(peer.LedgerRequest_ACTION_FINISH, record)
}

// removeIntent deletes the intent of a request that certainly did not run.
func (a *atMostOnceRun) removeIntent() { a.retryUpdate(peer.LedgerRequest_ACTION_ABORT, nil) }

// retryUpdate makes a ledger update in the background. It repeats the call until the ledger replies with a
// known result, at most maxLedgerUpdateAttempts times.
func (a *atMostOnceRun) retryUpdate(action peer.LedgerRequest_Action, record *peer.LedgerRecord) {
	a.run.dispatcher.running.Add(1)
	go func() {
		defer a.run.dispatcher.running.Add(-1)
		pause := minPollInterval
		for range maxLedgerUpdateAttempts {
			reply := a.callLedger(context.Background(), action, record)
			if reply != nil && reply.Result != peer.LedgerReply_RESULT_UNKNOWN {
				return
			}
			time.Sleep(pause)
			pause = min(2*pause, maxPollInterval)
		}
		a.run.dispatcher.opts.Log.Warn("failed to update ledger record",
			"action", action.String(), "request", a.run.req.InternalID)
	}()
}

func ledgerUnavailableError(message string) *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Code: CodeLedgerUnavailable, Message: message, RetryAfter: time.Second,
	}
}

func outcomeUnknownError(message string) *Error {
	return &Error{Status: http.StatusConflict, Code: CodeOutcomeUnknown, Message: message + "; it is not repeated"}
}
