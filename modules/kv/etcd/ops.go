package etcd

import (
	"context"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

// Range implements platform.KV.
func (k *KV) Range(ctx context.Context, r platform.RangeRequest) (platform.RangeReply, error) {
	var reply etcdjson.RangeReply
	if err := k.read(ctx, "range", etcdjson.PathRange, k.rangeRequest(r), &reply); err != nil {
		return platform.RangeReply{}, err
	}
	return k.rangeReply(&reply), nil
}

// Txn implements platform.KV.
func (k *KV) Txn(ctx context.Context, t platform.Txn) (platform.TxnReply, error) {
	req := etcdjson.TxnRequest{Success: k.ops(t.Then), Failure: k.ops(t.Else)}
	for _, c := range t.If {
		req.Compare = append(req.Compare, k.compare(c))
	}
	var reply etcdjson.TxnReply
	if err := k.write(ctx, "txn", etcdjson.PathTxn, &req, &reply); err != nil {
		return platform.TxnReply{}, err
	}
	out := platform.TxnReply{Succeeded: reply.Succeeded, Revision: revision(reply.Header)}
	for i := range reply.Responses {
		if r := reply.Responses[i].Range; r != nil {
			read := k.rangeReply(r)
			if read.Revision == 0 {
				read.Revision = out.Revision
			}
			out.Reads = append(out.Reads, read)
		}
	}
	return out, nil
}

// Grant implements platform.KV. The time to live is rounded up to whole seconds.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var reply etcdjson.LeaseReply
	if err := k.write(ctx, "grant", etcdjson.PathGrant,
		&etcdjson.LeaseGrantRequest{TTLSeconds: seconds}, &reply); err != nil {
		return platform.LeaseID{}, err
	}
	return platform.LeaseID{Number: reply.ID}, nil
}

// KeepAlive implements platform.KV. It is sent as a read, which may be retried, since renewing a lease twice
// is harmless.
func (k *KV) KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error) {
	var reply etcdjson.KeepAliveReply
	if err := k.read(ctx, "keepalive", etcdjson.PathKeepAlive, &etcdjson.LeaseRequest{ID: id.Number}, &reply); err != nil {
		return 0, err
	}
	if reply.Error != nil {
		return 0, oops.With("step", "keepalive").With("reason", reply.Error.Message).Wrap(platform.ErrUnavailable)
	}
	if reply.Result == nil || reply.Result.TTLSeconds <= 0 {
		return 0, oops.With("step", "keepalive").Wrap(platform.ErrLeaseNotFound)
	}
	return time.Duration(reply.Result.TTLSeconds) * time.Second, nil
}

// Revoke implements platform.KV.
func (k *KV) Revoke(ctx context.Context, id platform.LeaseID) error {
	return k.write(ctx, "revoke", etcdjson.PathRevoke, &etcdjson.LeaseRequest{ID: id.Number}, &etcdjson.Empty{})
}

// prefixedKey returns a key as it is stored, with the configured prefix.
func (k *KV) prefixedKey(name string) []byte { return []byte(k.Prefix + name) }

func (k *KV) rangeRequest(r platform.RangeRequest) *etcdjson.RangeRequest {
	req := &etcdjson.RangeRequest{Key: k.prefixedKey(r.Key), Limit: int64(r.Limit), Serializable: r.Stale}
	if r.Prefix {
		req.RangeEnd = etcdjson.PrefixEnd(k.Prefix + r.Key)
		if r.After != "" {
			// Start at the smallest key greater than After.
			req.Key = append(k.prefixedKey(r.After), 0)
		}
	}
	return req
}

func (k *KV) ops(ops []platform.Op) []etcdjson.Op {
	var out []etcdjson.Op
	for _, op := range ops {
		key := k.prefixedKey(op.Key)
		switch {
		case op.Read:
			out = append(out, etcdjson.Op{Range: &etcdjson.RangeRequest{Key: key}})
		case op.Delete:
			out = append(out, etcdjson.Op{Delete: &etcdjson.DeleteRequest{Key: key}})
		default:
			out = append(out, etcdjson.Op{Put: &etcdjson.PutRequest{Key: key, Value: op.Value, Lease: op.Lease.Number}})
		}
	}
	return out
}

func (k *KV) compare(c platform.Compare) etcdjson.Compare {
	out := etcdjson.Compare{Result: etcdjson.ResultEqual, Key: k.prefixedKey(c.Key)}
	switch c.Target {
	case platform.CompareCreateRevision:
		out.Target, out.CreateRevision = etcdjson.TargetCreate, &c.Revision
	case platform.CompareModRevision:
		out.Target, out.ModRevision = etcdjson.TargetMod, &c.Revision
	case platform.CompareVersion:
		out.Target, out.Version = etcdjson.TargetVersion, &c.Revision
	default:
		out.Target, out.Value = etcdjson.TargetValue, &c.Value
	}
	return out
}

func (k *KV) rangeReply(r *etcdjson.RangeReply) platform.RangeReply {
	out := platform.RangeReply{Revision: revision(r.Header), More: r.More}
	for i := range r.KVs {
		out.KVs = append(out.KVs, k.keyValue(&r.KVs[i]))
	}
	return out
}

func (k *KV) keyValue(kv *etcdjson.KeyValue) platform.KeyValue {
	return platform.KeyValue{
		Key:   strings.TrimPrefix(string(kv.Key), k.Prefix),
		Value: kv.Value, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
		Version: kv.Version, Lease: platform.LeaseID{Number: kv.Lease},
	}
}

func revision(h *etcdjson.Header) int64 {
	if h == nil {
		return 0
	}
	return h.Revision
}
