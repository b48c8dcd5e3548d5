package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// earlier looks the key up and returns a result when the request must not be sent.
func (b *booking) earlier(ctx context.Context) *Result {
	reply := b.call(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	if reply == nil {
		// An earlier request with this key may have run, so that "not run" could be wrong.
		return &Result{Outcome: Unknown, Err: ledgerDown("this request was not sent; whether an earlier one with its key ran cannot be looked up")}
	}
	if absent(reply) {
		return nil
	}
	return b.duplicate(ctx, reply)
}

// absent says that nothing with this key runs, ran or may have run.
func absent(reply *peer.LedgerReply) bool {
	return reply.Result == peer.LedgerReply_RESULT_ABSENT ||
		(reply.Result == peer.LedgerReply_RESULT_EXISTS && reply.Record.GetState() == peer.LedgerRecord_STATE_NOT_RUN)
}

// duplicate answers a request whose key is taken: with the stored answer, after waiting for a
// running request, or as unknown.
func (b *booking) duplicate(ctx context.Context, reply *peer.LedgerReply) *Result {
	limit := time.NewTimer(b.patience())
	defer limit.Stop()
	pause := pollStart
	for {
		if reply != nil {
			if res := b.settled(reply); res != nil {
				return res
			}
		}
		select {
		case <-ctx.Done():
			return &Result{Outcome: Unknown, Err: b.run.canceled(ctx).err}
		case <-limit.C:
			return &Result{Outcome: Unknown, Err: unknown("a request with the same key may have run and has no recorded outcome")}
		case <-time.After(pause):
		}
		pause = min(2*pause, pollMax)
		reply = b.call(ctx, peer.LedgerRequest_ACTION_LOOKUP, nil)
	}
}

// settled returns the answer to a duplicate, or nil while the first request still runs.
func (b *booking) settled(reply *peer.LedgerReply) *Result {
	record := reply.GetRecord()
	switch {
	case reply.Result == peer.LedgerReply_RESULT_BODY_MISMATCH,
		len(record.GetBodyDigest()) > 0 && !bytes.Equal(record.BodyDigest, b.digest):
		return &Result{Outcome: NotRun, Err: &Error{
			Status: http.StatusUnprocessableEntity, Code: CodeKeyReused,
			Message: "the Idempotency-Key was used with another request",
		}}
	case absent(reply):
		// The first request ended without being run; the caller may repeat its own.
		return &Result{Outcome: NotRun, Err: overloaded("the request with the same key did not run", time.Second)}
	case reply.Result != peer.LedgerReply_RESULT_EXISTS:
		return nil
	case record.GetState() == peer.LedgerRecord_STATE_DONE:
		return b.replay(record)
	case b.abandoned(record):
		return &Result{Outcome: Unknown, Err: unknown("the daemon that sent the request is gone")}
	}
	return nil
}

// abandoned says that the daemon named in an intent no longer runs, so that waiting is in vain.
func (b *booking) abandoned(record *peer.LedgerRecord) bool {
	members := b.run.d.o.Members
	if members == nil {
		return false
	}
	for _, m := range members.All() {
		if m.Id == record.MemberId {
			return m.State == peer.MemberState_MEMBER_STATE_DEAD || m.State == peer.MemberState_MEMBER_STATE_LEFT ||
				restarted(m, record)
		}
	}
	return true
}

// restarted says that the daemon of an intent has ended and another process runs under its id. A
// process begins with the wall clock in milliseconds as its incarnation and adds 1 at each refuted
// suspicion, so that only a new process is ahead by a large part of the old one's age.
func restarted(m *peer.Member, record *peer.LedgerRecord) bool {
	if record.MemberIncarnation == 0 || m.Incarnation <= record.MemberIncarnation {
		return false
	}
	age := record.BegunUnixMs - int64(record.MemberIncarnation)
	ahead := int64(m.Incarnation - record.MemberIncarnation)
	return ahead > max(age/2, minRestart.Milliseconds())
}

// minRestart is the least time between the starts of two processes under one id that tells them apart.
const minRestart = 500 * time.Millisecond

// replay answers with the stored answer.
func (b *booking) replay(record *peer.LedgerRecord) *Result {
	if !record.AnswerKept {
		return &Result{Outcome: Completed, Err: &Error{
			Status: http.StatusConflict, Code: CodeAnswerNotKept,
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
		return &Result{Outcome: outcome, Err: gone()}
	}
	if _, err := out.Write(record.Answer); err != nil {
		return &Result{Outcome: outcome, Err: gone()}
	}
	return &Result{Outcome: outcome}
}

// patience is how long a duplicate waits for the first request: the class's limit.
func (b *booking) patience() time.Duration {
	limit := b.run.r.Class.Total.D()
	if limit == 0 {
		return waitLimit
	}
	return min(max(limit, minWait), waitLimit)
}
