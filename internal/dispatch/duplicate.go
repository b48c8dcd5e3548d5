package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// checkExisting looks up the key and returns a result when the request must not be sent.
func (a *atMostOnceRun) checkExisting(ctx context.Context) *Result {
	reply := a.callLedger(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply == nil {
		// An earlier request with this key may have run, so the outcome cannot be NotRun.
		return &Result{Outcome: Unknown, Err: ledgerUnavailableError("this request was not sent; whether an earlier one with its key ran cannot be looked up")}
	}
	if neverRan(reply) {
		return nil
	}
	return a.awaitDuplicate(ctx, reply)
}

// neverRan reports whether no request with the key is running, has run or may have run.
func neverRan(reply *peer.LedgerReply) bool {
	return reply.Result == peer.LedgerReply_RESULT_ABSENT ||
		(reply.Result == peer.LedgerReply_RESULT_EXISTS && reply.Record.GetState() == peer.LedgerRecord_STATE_NOT_RUN)
}

// awaitDuplicate returns the result of a request whose key is already in use. It waits while the first request
// is running, up to duplicateTimeout, and then replays the stored response. The outcome is Unknown if no response
// has been recorded by then or the daemon of the first request is gone, and NotRun if the first request did not
// run or differs from this one.
func (a *atMostOnceRun) awaitDuplicate(ctx context.Context, reply *peer.LedgerReply) *Result {
	limit := time.NewTimer(a.duplicateTimeout())
	defer limit.Stop()
	pause := minPollInterval
	for {
		if reply != nil {
			if res := a.duplicateResult(reply); res != nil {
				return res
			}
		}
		select {
		case <-ctx.Done():
			return &Result{Outcome: Unknown, Err: a.run.canceledResult(ctx).err}
		case <-limit.C:
			return &Result{Outcome: Unknown, Err: outcomeUnknownError("a request with the same key may have run and has no recorded outcome")}
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPollInterval)
		reply = a.callLedger(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	}
}

// duplicateResult returns the result for a duplicate, or nil while the first request is running.
func (a *atMostOnceRun) duplicateResult(reply *peer.LedgerReply) *Result {
	record := reply.GetRecord()
	switch {
	case reply.Result == peer.LedgerReply_RESULT_BODY_MISMATCH,
		len(record.GetBodyDigest()) > 0 && !bytes.Equal(record.BodyDigest, a.digest):
		return &Result{Outcome: NotRun, Err: &Error{
			Status: http.StatusUnprocessableEntity, Code: CodeIdempotencyKeyReused,
			Message: "the Idempotency-Key was used with another request",
		}}
	case neverRan(reply):
		// The first request ended without being run, so the caller may retry.
		return &Result{Outcome: NotRun, Err: overloadedError("the request with the same key did not run", time.Second)}
	case reply.Result != peer.LedgerReply_RESULT_EXISTS:
		return nil
	case record.GetState() == peer.LedgerRecord_STATE_DONE:
		return a.replay(record)
	case a.senderGone(record):
		return &Result{Outcome: Unknown, Err: outcomeUnknownError("the daemon that sent the request is gone")}
	}
	return nil
}

// senderGone reports whether the daemon that recorded an intent is no longer running, so that its outcome
// will not be recorded.
func (a *atMostOnceRun) senderGone(record *peer.LedgerRecord) bool {
	members := a.run.dispatcher.opts.Members
	if members == nil {
		return false
	}
	for _, m := range members.All() {
		if m.Id == record.MemberId {
			return m.State == peer.MemberState_MEMBER_STATE_DEAD || m.State == peer.MemberState_MEMBER_STATE_LEFT ||
				processReplaced(m, record)
		}
	}
	return true
}

// processReplaced reports whether the process that recorded an intent has been replaced by another process under
// the same member ID. A process starts with an incarnation equal to the wall clock time in milliseconds and adds
// 1 for each suspicion that it refutes. Refutations add far less than the age that the process had when it
// recorded the intent, while the incarnation of a replacement is higher by at least that age. Half of that age is
// the threshold, because the time of the intent is taken from the clock of the ledger owner, which may be ahead.
func processReplaced(m *peer.Member, record *peer.LedgerRecord) bool {
	if record.MemberIncarnation == 0 || m.Incarnation <= record.MemberIncarnation {
		return false
	}
	age := record.BegunUnixMs - int64(record.MemberIncarnation)
	ahead := int64(m.Incarnation - record.MemberIncarnation)
	return ahead > max(age/2, minRestartInterval.Milliseconds())
}

// minRestartInterval is the shortest time between the starts of two processes with the same ID at which they
// are told apart.
const minRestartInterval = 500 * time.Millisecond

// replay sends the stored response to the caller.
func (a *atMostOnceRun) replay(record *peer.LedgerRecord) *Result {
	if !record.AnswerKept {
		return &Result{Outcome: Completed, Err: &Error{
			Status: http.StatusConflict, Code: CodeResponseNotStored,
			Message: "the request has run with status " + strconv.Itoa(int(record.Status)) + "; its answer was too large to be kept",
		}}
	}
	header := http.Header{}
	if record.ContentType != "" {
		header.Set("Content-Type", record.ContentType)
	}
	header.Set("Idempotency-Replayed", "true")
	header.Set("Content-Length", strconv.Itoa(len(record.Answer)))
	outcome := Completed
	if record.Status >= http.StatusInternalServerError {
		outcome = Failed
	}
	out := a.run.relay.out
	if err := out.Start(int(record.Status), header, outcome); err != nil {
		return &Result{Outcome: outcome, Err: callerGoneError()}
	}
	if _, err := out.Write(record.Answer); err != nil {
		return &Result{Outcome: outcome, Err: callerGoneError()}
	}
	return &Result{Outcome: outcome}
}

// duplicateTimeout returns how long a duplicate waits for the first request: the total target of the class,
// within minDuplicateWait and maxDuplicateWait, or maxDuplicateWait if the class has no total target.
func (a *atMostOnceRun) duplicateTimeout() time.Duration {
	limit := a.run.req.Class.Total.D()
	if limit == 0 {
		return maxDuplicateWait
	}
	return min(max(limit, minDuplicateWait), maxDuplicateWait)
}
