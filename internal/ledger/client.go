package ledger

import (
	"context"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// callTimeout bounds one call to an owner. A later reply is discarded, because the record may have been
	// settled since.
	callTimeout = 3 * time.Second
	// doTimeout bounds an action including its retries.
	doTimeout = 8 * time.Second
	// retryInterval is the time between retries, for example while a partition moves to another owner.
	retryInterval = 100 * time.Millisecond
)

// Do runs an action at the owner of the key's partition. It retries for up to doTimeout while the
// partition moves or replies are lost. A request id must be unique to one caller's request: a repeated
// ACTION_BEGIN with the same id is confirmed again as long as its record is an intent. An error means
// that the action was not applied.
//
// After RESULT_UNKNOWN for ACTION_BEGIN the request must not be sent. The ledger then deletes the
// intent that may exist, and refuses the request id until that is done. It stops trying after
// maxAbandonedAge, and does not try if maxAbandoned calls are pending; an operator can settle the intent.
func (l *Ledger) Do(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	req = proto.CloneOf(req)
	req.Partition = PartitionOf(req.Key)
	self := l.Members.Self()
	if req.MemberId == "" {
		req.MemberId = self.Id
	}
	if req.Action == peer.LedgerRequest_ACTION_BEGIN {
		if l.isAbandoned(req) {
			return unavailableReply(), nil
		}
		if req.Record == nil {
			req.Record = &peer.LedgerRecord{MemberIncarnation: self.Incarnation}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, doTimeout)
	defer cancel()
	// uncertain is true once an attempt may have been applied.
	uncertain := false
	for {
		reply, sent := l.attempt(ctx, req)
		switch {
		case reply == nil || reply.Result == peer.LedgerReply_RESULT_UNKNOWN:
			uncertain = uncertain || sent
		case reply.Result == peer.LedgerReply_RESULT_NOT_OWNER:
		case reply.Result == peer.LedgerReply_RESULT_UNAVAILABLE:
			if !uncertain {
				return reply, nil
			}
		case reply.Result == peer.LedgerReply_RESULT_ABSENT && req.Action == peer.LedgerRequest_ACTION_ABORT && uncertain:
			// An earlier attempt has deleted the record.
			return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_DONE}, nil
		default:
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return l.timedOut(ctx, req, uncertain)
		case <-time.After(retryInterval):
		}
	}
}

// timedOut returns the result of an action that got no usable reply in time.
func (l *Ledger) timedOut(ctx context.Context, req *peer.LedgerRequest, uncertain bool) (*peer.LedgerReply, error) {
	if uncertain && req.Action != peer.LedgerRequest_ACTION_LOOKUP {
		if req.Action == peer.LedgerRequest_ACTION_BEGIN {
			l.abandon(req)
		}
		return unknownReply(), nil
	}
	return nil, oops.With("step", "ledger").With("partition", req.Partition).Wrap(ctx.Err())
}

// attempt makes one call. sent is false if the action certainly did not reach an owner. reply is nil if
// there is no usable reply.
func (l *Ledger) attempt(ctx context.Context, req *peer.LedgerRequest) (reply *peer.LedgerReply, sent bool) {
	owners := l.Members.Owners(role(req.Partition), 1)
	if len(owners) == 0 || !l.Members.ViewFresh() {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	var err error
	if owners[0].Id == l.Members.Self().Id {
		// The owner's records are shared and must not be modified, but a caller may modify its reply.
		if reply, err = l.Serve(ctx, req); err == nil {
			reply = proto.CloneOf(reply)
		}
	} else {
		client, dialErr := l.Peers.Client(ctx, owners[0])
		if dialErr != nil {
			return nil, false
		}
		reply, err = client.Ledger(ctx, req)
	}
	// A process that was paused may read a reply long after the timeout. The wall clock is checked too,
	// because the monotonic clock may stop while the VM is suspended.
	now := time.Now()
	if err != nil || now.Sub(start) > callTimeout || now.Round(0).Sub(start.Round(0)) > callTimeout {
		return nil, true
	}
	return reply, true
}
