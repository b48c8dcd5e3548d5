package ledger

import (
	"bytes"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// MaxResponseBytes is the size of the largest response that is stored in a record.
	MaxResponseBytes = 64 << 10
	// minSettleAge is the minimum age of an intent that an operator may settle. The entry daemon of a
	// younger one may still send the request: it accepts the ledger's reply up to callTimeout after its call.
	minSettleAge = time.Minute
)

// change is the effect of an action on a stored record.
type change int

const (
	changeNone change = iota
	changeWrite
	changeDelete
)

// outcome is the result of an action, to be reported once its change is committed.
type outcome struct {
	result peer.LedgerReply_Result
	// record is the state after the action, nil if there is no record.
	record *peer.LedgerRecord
	change change
}

// applyAction applies an action to the current record, which is nil if absent.
func applyAction(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) outcome {
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
	return outcome{result: peer.LedgerReply_RESULT_UNAVAILABLE, record: cur}
}

func lookup(cur *peer.LedgerRecord, req *peer.LedgerRequest) outcome {
	switch {
	case cur == nil:
		return outcome{result: peer.LedgerReply_RESULT_ABSENT}
	case len(req.BodyDigest) > 0 && !bytes.Equal(cur.BodyDigest, req.BodyDigest):
		return outcome{result: peer.LedgerReply_RESULT_BODY_MISMATCH, record: cur}
	}
	return outcome{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
}

// begin writes an intent unless the key is in use. A record that an operator settled as not run leaves
// the key free for a request with the same body. A repeated call of the same request is confirmed
// again, because the reply to the first one may have been lost.
func begin(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) outcome {
	if cur != nil {
		if !bytes.Equal(cur.BodyDigest, req.BodyDigest) {
			return outcome{result: peer.LedgerReply_RESULT_BODY_MISMATCH, record: cur}
		}
		if heldBy(cur, req) {
			return outcome{result: peer.LedgerReply_RESULT_BEGUN, record: cur}
		}
		if cur.State != peer.LedgerRecord_STATE_NOT_RUN {
			return outcome{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
		}
	}
	record := &peer.LedgerRecord{
		State: peer.LedgerRecord_STATE_INTENT, RequestId: req.RequestId, MemberId: req.MemberId,
		MemberIncarnation: req.GetRecord().GetMemberIncarnation(), BodyDigest: req.BodyDigest,
		BegunUnixMs: now.UnixMilli(),
	}
	return outcome{result: peer.LedgerReply_RESULT_BEGUN, record: record, change: changeWrite}
}

// heldBy reports whether the record is an intent of this request, identified by member and request id.
func heldBy(cur *peer.LedgerRecord, req *peer.LedgerRequest) bool {
	return cur.State == peer.LedgerRecord_STATE_INTENT &&
		cur.MemberId == req.MemberId && cur.RequestId == req.RequestId
}

func finish(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) outcome {
	if cur == nil {
		return outcome{result: peer.LedgerReply_RESULT_ABSENT}
	}
	if !heldBy(cur, req) {
		repeated := cur.State == peer.LedgerRecord_STATE_DONE && cur.SettledBy == "" &&
			cur.MemberId == req.MemberId && cur.RequestId == req.RequestId
		if repeated {
			return outcome{result: peer.LedgerReply_RESULT_DONE, record: cur}
		}
		return outcome{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	record := proto.CloneOf(cur)
	record.State, record.FinishedUnixMs = peer.LedgerRecord_STATE_DONE, now.UnixMilli()
	setResponse(record, req.GetRecord())
	return outcome{result: peer.LedgerReply_RESULT_DONE, record: record, change: changeWrite}
}

// setResponse copies a response into a record. A body above MaxResponseBytes is left out. Invalid UTF-8 in the content
// type, which comes from the endpoint, is replaced, because a record with it cannot be encoded.
func setResponse(record, from *peer.LedgerRecord) {
	record.Status, record.ContentType = from.GetStatus(), strings.ToValidUTF8(from.GetContentType(), "\uFFFD")
	record.AnswerKept = from.GetAnswerKept() && len(from.GetAnswer()) <= MaxResponseBytes
	if record.AnswerKept {
		record.Answer = from.GetAnswer()
	}
}

// abort deletes an intent whose holder reports that no byte was sent.
func abort(cur *peer.LedgerRecord, req *peer.LedgerRequest) outcome {
	switch {
	case cur == nil:
		return outcome{result: peer.LedgerReply_RESULT_ABSENT}
	case !heldBy(cur, req):
		return outcome{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	return outcome{result: peer.LedgerReply_RESULT_DONE, change: changeDelete}
}

// settle records an operator's decision on an intent: the request ran (STATE_DONE) or did not (STATE_NOT_RUN).
func settle(cur *peer.LedgerRecord, req *peer.LedgerRequest, now time.Time) outcome {
	if cur == nil {
		return outcome{result: peer.LedgerReply_RESULT_ABSENT}
	}
	state := req.GetRecord().GetState()
	validState := state == peer.LedgerRecord_STATE_DONE || state == peer.LedgerRecord_STATE_NOT_RUN
	oldEnough := now.UnixMilli()-cur.BegunUnixMs >= minSettleAge.Milliseconds()
	if cur.State != peer.LedgerRecord_STATE_INTENT || !validState || !oldEnough {
		return outcome{result: peer.LedgerReply_RESULT_EXISTS, record: cur}
	}
	record := proto.CloneOf(cur)
	record.State, record.SettledBy, record.FinishedUnixMs = state, req.GetRecord().GetSettledBy(), now.UnixMilli()
	setResponse(record, req.GetRecord())
	return outcome{result: peer.LedgerReply_RESULT_DONE, record: record, change: changeWrite}
}

// expired reports whether a record is past its retention, counted from its last change.
func expired(r *peer.LedgerRecord, retention time.Duration, now time.Time) bool {
	return now.UnixMilli()-max(r.BegunUnixMs, r.FinishedUnixMs) > retention.Milliseconds()
}
