package kv

import (
	"bytes"
	"time"

	"github.com/chivewind/chivewind/internal/etcdjson"
	"github.com/chivewind/chivewind/platform"
)

func header(revision int64) *etcdjson.Header { return &etcdjson.Header{Revision: revision} }

func (v *Server) rangeKeys(in *etcdjson.RangeRequest) (*etcdjson.RangeReply, error) {
	r, err := rangeRequest(in)
	if err != nil {
		return nil, err
	}
	return rangeReply(v.store.Range(r)), nil
}

// rangeRequest converts the two kinds of range that the stand-in supports: a single key, and all keys with a
// prefix, optionally starting after a given key.
func rangeRequest(in *etcdjson.RangeRequest) (platform.RangeRequest, error) {
	r := platform.RangeRequest{Key: string(in.Key), Limit: int(in.Limit)}
	if len(in.RangeEnd) == 0 {
		return r, nil
	}
	for n := len(in.Key); n >= 0; n-- {
		prefix := in.Key[:n]
		if !bytes.Equal(etcdjson.PrefixEnd(string(prefix)), in.RangeEnd) {
			continue
		}
		r.Key, r.Prefix = string(prefix), true
		if n < len(in.Key) {
			r.After = string(bytes.TrimSuffix(in.Key, []byte{0}))
		}
		return r, nil
	}
	return r, &RefusedError{etcdjson.CodeUnimplemented, "range_end does not end a prefix of key"}
}

func rangeReply(r platform.RangeReply) *etcdjson.RangeReply {
	out := &etcdjson.RangeReply{Header: header(r.Revision), More: r.More, Count: int64(len(r.KVs))}
	for _, kv := range r.KVs {
		out.KVs = append(out.KVs, *keyValue(kv))
	}
	return out
}

func keyValue(kv platform.KeyValue) *etcdjson.KeyValue {
	return &etcdjson.KeyValue{
		Key: []byte(kv.Key), Value: kv.Value, CreateRevision: kv.CreateRevision,
		ModRevision: kv.ModRevision, Version: kv.Version, Lease: kv.Lease.Number,
	}
}

func (v *Server) txn(in *etcdjson.TxnRequest) (*etcdjson.TxnReply, error) {
	t := platform.Txn{Then: ops(in.Success), Else: ops(in.Failure)}
	for _, c := range in.Compare {
		t.If = append(t.If, compare(c))
	}
	reply, err := v.store.Txn(t)
	if err != nil {
		return nil, err
	}
	out := &etcdjson.TxnReply{Header: header(reply.Revision), Succeeded: reply.Succeeded}
	branch := t.Else
	if reply.Succeeded {
		branch = t.Then
	}
	for _, op := range branch {
		switch {
		case op.Read:
			out.Responses = append(out.Responses, etcdjson.OpReply{Range: rangeReply(reply.Reads[0])})
			reply.Reads = reply.Reads[1:]
		case op.Delete:
			out.Responses = append(out.Responses, etcdjson.OpReply{Delete: &etcdjson.Empty{}})
		default:
			out.Responses = append(out.Responses, etcdjson.OpReply{Put: &etcdjson.Empty{}})
		}
	}
	return out, nil
}

func ops(in []etcdjson.Op) []platform.Op {
	var out []platform.Op
	for _, op := range in {
		switch {
		case op.Range != nil:
			out = append(out, platform.Op{Read: true, Key: string(op.Range.Key)})
		case op.Delete != nil:
			out = append(out, platform.Op{Delete: true, Key: string(op.Delete.Key)})
		case op.Put != nil:
			out = append(out, platform.Op{Key: string(op.Put.Key), Value: op.Put.Value, Lease: platform.LeaseID{Number: op.Put.Lease}})
		}
	}
	return out
}

func compare(c etcdjson.Compare) platform.Compare {
	out := platform.Compare{Key: string(c.Key)}
	set := func(target platform.CompareTarget, revision *int64) {
		out.Target = target
		if revision != nil {
			out.Revision = *revision
		}
	}
	switch c.Target {
	case etcdjson.TargetCreate:
		set(platform.CompareCreateRevision, c.CreateRevision)
	case etcdjson.TargetMod:
		set(platform.CompareModRevision, c.ModRevision)
	case etcdjson.TargetVersion:
		set(platform.CompareVersion, c.Version)
	default:
		out.Target = platform.CompareValue
		if c.Value != nil {
			out.Value = *c.Value
		}
	}
	return out
}

func (v *Server) grant(in *etcdjson.LeaseGrantRequest) (*etcdjson.LeaseReply, error) {
	id := v.store.Grant(time.Duration(in.TTLSeconds) * time.Second)
	return &etcdjson.LeaseReply{Header: header(v.store.Revision()), ID: id.Number, TTLSeconds: in.TTLSeconds}, nil
}

// keepAlive returns a TTL of 0 for a lease that does not exist, as the etcd API does.
func (v *Server) keepAlive(in *etcdjson.LeaseRequest) (*etcdjson.KeepAliveReply, error) {
	ttl, _ := v.store.KeepAlive(platform.LeaseID{Number: in.ID})
	return &etcdjson.KeepAliveReply{Result: &etcdjson.LeaseReply{
		Header: header(v.store.Revision()), ID: in.ID, TTLSeconds: int64(ttl / time.Second),
	}}, nil
}

func (v *Server) revoke(in *etcdjson.LeaseRequest) (*etcdjson.Empty, error) {
	return &etcdjson.Empty{}, v.store.Revoke(platform.LeaseID{Number: in.ID})
}

func watchResult(r platform.WatchReply) *etcdjson.WatchResult {
	out := &etcdjson.WatchResult{Header: header(r.Revision)}
	for _, e := range r.Events {
		event := etcdjson.Event{KV: keyValue(e.KV)}
		if e.Deleted {
			event.Type = etcdjson.EventDelete
		}
		out.Events = append(out.Events, event)
	}
	return out
}
