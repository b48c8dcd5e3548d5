package ledger

import (
	"context"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// callTimeout bounds one call of an owner. A reply that is older is not used, because the
	// record may have been settled since.
	callTimeout = 3 * time.Second
	// doLimit bounds an action with its repetitions.
	doLimit = 8 * time.Second
	// retryPause is the time between repetitions, for example while a partition moves.
	retryPause = 100 * time.Millisecond
)

// Do runs an action at the owner of the key's partition and repeats it while the partition moves or
// replies are lost. A request id must be unique to one caller's request: a repeated ACTION_BEGIN
// with the same id is confirmed again as long as its record is an intent.
//
// After RESULT_UNKNOWN for ACTION_BEGIN the request must not be sent. The ledger then removes the
// intent that may exist, and refuses the request id until that is done.
func (l *Ledger) Do(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	req = proto.CloneOf(req)
	req.Partition = PartitionOf(req.Key)
	self := l.Members.Self()
	if req.MemberId == "" {
		req.MemberId = self.Id
	}
	if req.Action == peer.LedgerRequest_ACTION_BEGIN {
		if l.isAbandoned(req) {
			return unavailable(), nil
		}
		if req.Record == nil {
			req.Record = &peer.LedgerRecord{MemberIncarnation: self.Incarnation}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, doLimit)
	defer cancel()
	// uncertain is set once a try may have been recorded.
	uncertain := false
	for {
		reply, sent := l.try(ctx, req)
		switch {
		case reply == nil || reply.Result == peer.LedgerReply_RESULT_UNKNOWN:
			uncertain = uncertain || sent
		case reply.Result == peer.LedgerReply_RESULT_NOT_OWNER:
		case reply.Result == peer.LedgerReply_RESULT_UNAVAILABLE:
			if !uncertain {
				return reply, nil
			}
		case reply.Result == peer.LedgerReply_RESULT_ABSENT && req.Action == peer.LedgerRequest_ACTION_ABORT && uncertain:
			// An earlier try has removed the record.
			return &peer.LedgerReply{Result: peer.LedgerReply_RESULT_DONE}, nil
		default:
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return l.giveUpCall(ctx, req, uncertain)
		case <-time.After(retryPause):
		}
	}
}

// giveUpCall is the result of an action that got no usable reply in time.
func (l *Ledger) giveUpCall(ctx context.Context, req *peer.LedgerRequest, uncertain bool) (*peer.LedgerReply, error) {
	if uncertain && req.Action != peer.LedgerRequest_ACTION_LOOKUP {
		if req.Action == peer.LedgerRequest_ACTION_BEGIN {
			l.abandon(req)
		}
		return unknown(), nil
	}
	return nil, oops.With("step", "ledger").With("partition", req.Partition).Wrap(ctx.Err())
}

// try makes one call. sent is false when the action certainly did not reach an owner; a nil reply
// means that there is none that can be used.
func (l *Ledger) try(ctx context.Context, req *peer.LedgerRequest) (reply *peer.LedgerReply, sent bool) {
	owners := l.Members.Owners(role(req.Partition), 1)
	if len(owners) == 0 || !l.Members.Trusted() {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	var err error
	if owners[0].Id == l.Members.Self().Id {
		// The owner's records are shared and must not change; a caller may change its reply.
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
	// A process that was paused may see a reply long after its time. The wall clock is checked too,
	// because the monotonic one may stand still while the VM is suspended.
	now := time.Now()
	if err != nil || now.Sub(start) > callTimeout || now.Round(0).Sub(start.Round(0)) > callTimeout {
		return nil, true
	}
	return reply, true
}
