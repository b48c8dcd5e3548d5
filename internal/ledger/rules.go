package ledger

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// MaxAnswer is the size of the largest response that a record keeps, in bytes.
	MaxAnswer = 64 << 10
	// settleAge is the least age of an intent that an operator may settle. Until then its entry
	// daemon may still be about to send: a reply of the ledger is used for callTimeout only.
	settleAge = time.Minute
)

// change is what an action does to a record.
type change int

const (
	changeNone change = iota
	changeWrite
	changeDelete
)

// decision is the answer to an action once its change is durable.
type decision struct {
	result peer.LedgerReply_Result
	// record is the state of the record after the action, nil when there is none.
	record *peer.LedgerRecord
	change change
}

// decide applies an action to the present record, which is nil when absent.
func decide(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) decision {
	switch req.Action {
	case peer.LedgerRequest_ACTION_LOOKUP:
		return lookup(cur, req)
	case peer.LedgerRequest_ACTION_BEGIN:
		return begin(cur, req, now)
	case peer.LedgerRequest_ACTION_FINISH:
		return finish(cur, req, now)
	case peer.LedgerRequest_ACTION_ABORT:
		return abort(cur, req)
	case peer.LedgerRequest_ACTION_SETTLE:
		return settle(cur, req, now)
	}
	return decision{result: peer.LedgerReply_RESULT_UNAVAILABLE, record: cur}
}

func lookup(cur *peer.LedgerRecord, req *peer.LedgerRequest) decision {
	switch {
	case cur == nil:
		return decision{result: peer.LedgerReply_RESULT_ABSENT}
	case len(req.BodyDigest) > 0 && !bytes.Equal(cur.BodyDigest, req.BodyDigest):
		return decision{result: peer.LedgerReply_RESULT_BODY_MISMATCH, record: cur}
	}
	return decision{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
}

// begin records the intent unless the key is taken. A record that an operator settled as not run
// leaves the key free for the same body. A repeated call of the holder is confirmed again, because
// the reply to the first one may have been lost.
func begin(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) decision {
	if cur != nil {
		if !bytes.Equal(cur.BodyDigest, req.BodyDigest) {
			return decision{result: peer.LedgerReply_RESULT_BODY_MISMATCH, record: cur}
		}
		if heldBy(cur, req) {
			return decision{result: peer.LedgerReply_RESULT_BEGUN, record: cur}
		}
		if cur.State != peer.LedgerRecord_STATE_NOT_RUN {
			return decision{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
		}
	}
	record := &peer.LedgerRecord{
		State: peer.LedgerRecord_STATE_INTENT, RequestId: req.RequestId, MemberId: req.MemberId,
		MemberIncarnation: req.GetRecord().GetMemberIncarnation(), BodyDigest: req.BodyDigest,
		BegunUnixMs: now.UnixMilli(),
	}
	return decision{result: peer.LedgerReply_RESULT_BEGUN, record: record, change: changeWrite}
}

// heldBy says whether the record is an intent of this very request.
func heldBy(cur *peer.LedgerRecord, req *peer.LedgerRequest) bool {
	return cur.State == peer.LedgerRecord_STATE_INTENT &&
		cur.MemberId == req.MemberId && cur.RequestId == req.RequestId
}

func finish(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) decision {
	if cur == nil {
		return decision{result: peer.LedgerReply_RESULT_ABSENT}
	}
	if !heldBy(cur, req) {
		repeated := cur.State == peer.LedgerRecord_STATE_DONE && cur.SettledBy == "" &&
			cur.MemberId == req.MemberId && cur.RequestId == req.RequestId
		if repeated {
			return decision{result: peer.LedgerReply_RESULT_DONE, record: cur}
		}
		return decision{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	record := proto.CloneOf(cur)
	record.State, record.FinishedUnixMs = peer.LedgerRecord_STATE_DONE, now.UnixMilli()
	setAnswer(record, req.GetRecord())
	return decision{result: peer.LedgerReply_RESULT_DONE, record: record, change: changeWrite}
}

// setAnswer copies a response into a record; a response that is too large is left out.
func setAnswer(record, from *peer.LedgerRecord) {
	record.Status, record.ContentType = from.GetStatus(), from.GetContentType()
	record.AnswerKept = from.GetAnswerKept() && len(from.GetAnswer()) <= MaxAnswer
	if record.AnswerKept {
		record.Answer = from.GetAnswer()
	}
}

// abort removes an intent on the word of its holder that no byte was sent.
func abort(cur *peer.LedgerRecord, req *peer.LedgerRequest) decision {
	switch {
	case cur == nil:
		return decision{result: peer.LedgerReply_RESULT_ABSENT}
	case !heldBy(cur, req):
		return decision{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	return decision{result: peer.LedgerReply_RESULT_DONE, change: changeDelete}
}

// settle records an operator's decision on an intent: it ran (done) or it did not (not run).
func settle(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) decision {
	if cur == nil {
		return decision{result: peer.LedgerReply_RESULT_ABSENT}
	}
	state := req.GetRecord().GetState()
	valid := state == peer.LedgerRecord_STATE_DONE || state == peer.LedgerRecord_STATE_NOT_RUN
	old := now.UnixMilli()-cur.BegunUnixMs >= settleAge.Milliseconds()
	if cur.State != peer.LedgerRecord_STATE_INTENT || !valid || !old {
		return decision{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	record := proto.CloneOf(cur)
	record.State, record.SettledBy, record.FinishedUnixMs = state, req.GetRecord().GetSettledBy(), now.UnixMilli()
	setAnswer(record, req.GetRecord())
	return decision{result: peer.LedgerReply_RESULT_DONE, record: record, change: changeWrite}
}

// expired says whether a record is past its retention.
func expired(r *peer.LedgerRecord, retention time.Duration, now time.Time) bool {
	return now.UnixMilli()-max(r.BegunUnixMs, r.FinishedUnixMs) > retention.Milliseconds()
}
