package ledger

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

// Settlement is the audit entry of an operator's decision on a request whose outcome is unknown.
type Settlement struct {
	Time time.Time `json:"time"`
	// Operator names the operator and the address of the call.
	Operator  string `json:"operator"`
	Partition uint32 `json:"partition"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	MemberID  string `json:"member_id"`
	// From and To are the states of the record before and after the decision.
	From string `json:"from"`
	To   string `json:"to"`
}

func newSettlement(req *peer.LedgerRequest, cur *peer.LedgerRecord, now time.Time) Settlement {
	return Settlement{
		Time: now.UTC(), Operator: req.GetRecord().GetSettledBy(), Partition: PartitionOf(req.Key),
		Key: hex.EncodeToString(req.Key), RequestID: cur.RequestId, MemberID: cur.MemberId,
		From: cur.State.String(), To: req.GetRecord().GetState().String(),
	}
}

func (s Settlement) encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		return []byte(strconv.Quote(err.Error()))
	}
	return raw
}

// auditKey returns the key of a partition's nth audit entry. The keys form a ring buffer: a new entry
// replaces the oldest one in the same transaction.
func auditKey(partition uint32, n uint64) string {
	return fmt.Sprintf("%s%02d/%03d", auditPrefix, partition, n%maxAuditEntries)
}

// Settle records an operator's decision on a request whose outcome is unknown: STATE_DONE if it ran,
// with its response if known, or STATE_NOT_RUN if it did not, which frees the key. An intent younger
// than a minute is not settled, because its entry daemon may still send the request; the result is then
// RESULT_EXISTS with the record. Settle sets record.SettledBy. Other results and errors are those of Do.
func (l *Ledger) Settle(ctx context.Context, operator, address string, key []byte, record *peer.LedgerRecord) (*peer.LedgerReply, error) {
	record.SettledBy = operator + " from " + address
	return l.Do(ctx, &peer.LedgerRequest{Action: peer.LedgerRequest_ACTION_SETTLE, Key: key, Record: record})
}

// Settlements returns up to limit audit entries, newest first.
func (l *Ledger) Settlements(ctx context.Context, limit int) ([]Settlement, error) {
	reply, err := l.KV.Range(ctx, platform.RangeRequest{Key: auditPrefix, Prefix: true})
	if err != nil {
		return nil, oops.With("step", "read settlements").Wrap(err)
	}
	var entries []Settlement
	for _, kv := range reply.KVs {
		var s Settlement
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			return nil, oops.With("key", kv.Key).Wrap(err)
		}
		entries = append(entries, s)
	}
	slices.SortStableFunc(entries, func(a, b Settlement) int { return cmp.Compare(b.Time.UnixNano(), a.Time.UnixNano()) })
	return entries[:min(limit, len(entries))], nil
}

// StoredRecord is a record with its ledger key.
type StoredRecord struct {
	Key    []byte
	Record *peer.LedgerRecord
}

// Intents reads up to limit records of a partition in the order of their keys, from the first key above
// after, and returns those that are intents. An operator can settle those whose entry daemon is gone. next
// is the value of after for the following records, nil if there are none.
func (l *Ledger) Intents(ctx context.Context, partition uint32, after []byte, limit int) (found []StoredRecord, next []byte, err error) {
	r := platform.RangeRequest{Key: partitionPrefix(partition), Prefix: true, Limit: limit}
	if len(after) > 0 {
		r.After = recordKey(partition, after)
	}
	reply, err := l.KV.Range(ctx, r)
	if err != nil {
		return nil, nil, oops.With("step", "list ledger records").Wrap(err)
	}
	for _, kv := range reply.KVs {
		key, err := hex.DecodeString(kv.Key[len(partitionPrefix(partition)):])
		if err != nil {
			return nil, nil, oops.With("key", kv.Key).Wrap(err)
		}
		record, err := decodeRecord(kv)
		if err != nil {
			return nil, nil, err
		}
		if record.State == peer.LedgerRecord_STATE_INTENT {
			found = append(found, StoredRecord{key, record})
		}
		if reply.More {
			next = key
		}
	}
	return found, next, nil
}
