package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// checkExisting looks the key up and returns a result when the request must not be sent.
func (b *atMostOnceRun) checkExisting(ctx context.Context) *Result {
	reply := b.callLedger(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply == nil {
		// An earlier request with this key may have run, so that "not run" could be wrong.
		return &Result{Outcome: Unknown, Err: ledgerUnavailableError("this request was not sent; whether an earlier one with its key ran cannot be looked up")}
	}
	if neverRan(reply) {
		return nil
	}
	return b.awaitDuplicate(ctx, reply)
}

// neverRan says that nothing with this key runs, ran or may have run.
func neverRan(reply *peer.LedgerReply) bool {
	return reply.Result == peer.LedgerReply_RESULT_ABSENT ||
		(reply.Result == peer.LedgerReply_RESULT_EXISTS && reply.Record.GetState() == peer.LedgerRecord_STATE_NOT_RUN)
}

// awaitDuplicate answers a request whose key is taken: with the stored answer, after waiting for a
// running request, or as unknown.
func (b *atMostOnceRun) awaitDuplicate(ctx context.Context, reply *peer.LedgerReply) *Result {
	limit := time.NewTimer(b.duplicateTimeout())
	defer limit.Stop()
	pause := minPollInterval
	for {
		if reply != nil {
			if res := b.duplicateResult(reply); res != nil {
				return res
			}
		}
		select {
		case <-ctx.Done():
			return &Result{Outcome: Unknown, Err: b.run.canceledResult(ctx).err}
		case <-limit.C:
			return &Result{Outcome: Unknown, Err: outcomeUnknownError("a request with the same key may have run and has no recorded outcome")}
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPollInterval)
		reply = b.callLedger(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	}
}

// duplicateResult returns the answer to a duplicate, or nil while the first request still runs.
func (b *atMostOnceRun) duplicateResult(reply *peer.LedgerReply) *Result {
	record := reply.GetRecord()
	switch {
	case reply.Result == peer.LedgerReply_RESULT_BODY_MISMATCH,
		len(record.GetBodyDigest()) > 0 && !bytes.Equal(record.BodyDigest, b.digest):
		return &Result{Outcome: NotRun, Err: &Error{
			Status: http.StatusUnprocessableEntity, Code: CodeIdempotencyKeyReused,
			Message: "the Idempotency-Key was used with another request",
		}}
	case neverRan(reply):
		// The first request ended without being run; the caller may repeat its own.
		return &Result{Outcome: NotRun, Err: overloadedError("the request with the same key did not run", time.Second)}
	case reply.Result != peer.LedgerReply_RESULT_EXISTS:
		return nil
	case record.GetState() == peer.LedgerRecord_STATE_DONE:
		return b.replay(record)
	case b.senderGone(record):
		return &Result{Outcome: Unknown, Err: outcomeUnknownError("the daemon that sent the request is gone")}
	}
	return nil
}

// senderGone says that the daemon named in an intent no longer runs, so that waiting is in vain.
func (b *atMostOnceRun) senderGone(record *peer.LedgerRecord) bool {
	members := b.run.dispatcher.opts.Members
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

// processReplaced says that the daemon of an intent has ended and another process runs under its id. A
// process begins with the wall clock in milliseconds as its incarnation and adds 1 at each refuted
// suspicion, so that only a new process is ahead by a large part of the old one's age.
func processReplaced(m *peer.Member, record *peer.LedgerRecord) bool {
	if record.MemberIncarnation == 0 || m.Incarnation <= record.MemberIncarnation {
		return false
	}
	age := record.BegunUnixMs - int64(record.MemberIncarnation)
	ahead := int64(m.Incarnation - record.MemberIncarnation)
	return ahead > max(age/2, minRestartInterval.Milliseconds())
}

// minRestartInterval is the least time between the starts of two processes under one id that tells them apart.
const minRestartInterval = 500 * time.Millisecond

// replay answers with the stored answer.
func (b *atMostOnceRun) replay(record *peer.LedgerRecord) *Result {
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
	out := b.run.relay.out
	if err := out.Start(int(record.Status), header, outcome); err != nil {
		return &Result{Outcome: outcome, Err: callerGoneError()}
	}
	if _, err := out.Write(record.Answer); err != nil {
		return &Result{Outcome: outcome, Err: callerGoneError()}
	}
	return &Result{Outcome: outcome}
}

// duplicateTimeout is how long a duplicate waits for the first request: the class's limit.
func (b *atMostOnceRun) duplicateTimeout() time.Duration {
	limit := b.run.req.Class.Total.D()
	if limit == 0 {
		return maxDuplicateWait
	}
	return min(max(limit, minDuplicateWait), maxDuplicateWait)
}
