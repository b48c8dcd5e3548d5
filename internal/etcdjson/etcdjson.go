// Package etcdjson defines the JSON messages of the etcd v3 HTTP API that chivewind uses. Keys and
// values are encoded in base64, 64-bit integers as strings, and optional fields with a zero value are omitted.
package etcdjson

// Paths of the API calls, all with the method POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// gRPC status codes in error replies.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodePermissionDenied   = 7
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnimplemented      = 12
	CodeUnavailable        = 14
	CodeUnauthenticated    = 16
)

// Header is the header of a reply.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the key Key, or the keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	// Serializable allows a reply that may be out of date.
	Serializable bool `json:"serializable,omitempty"`
}

// RangeReply is the reply to a RangeRequest.
type RangeReply struct {
	Header *Header    `json:"header,omitempty"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"
	TargetValue   = "VALUE"
	ResultEqual   = "EQUAL"
)

// Compare is a condition of a transaction. Exactly one of the last four fields is set.
type Compare struct {
	Result         string  `json:"result"`
	Target         string  `json:"target"`
	Key            []byte  `json:"key"`
	Version        *int64  `json:"version,string,omitempty"`
	CreateRevision *int64  `json:"create_revision,string,omitempty"`
	ModRevision    *int64  `json:"mod_revision,string,omitempty"`
	Value          *[]byte `json:"value,omitempty"`
}

// Op is one operation of a transaction. Exactly one field is set.
type Op struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// Empty is a reply whose fields are not used.
type Empty struct{}

// OpReply is the reply to one operation.
type OpReply struct {
	Range  *RangeReply `json:"response_range,omitempty"`
	Put    *Empty      `json:"response_put,omitempty"`
	Delete *Empty      `json:"response_delete_range,omitempty"`
}

// TxnReply is the reply to a transaction.
type TxnReply struct {
	Header    *Header   `json:"header,omitempty"`
	Succeeded bool      `json:"succeeded,omitempty"`
	Responses []OpReply `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease.
type LeaseGrantRequest struct {
	TTLSeconds int64 `json:"TTL,string"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseReply is the reply to a grant or a renewal. A TTLSeconds of 0 means that the lease has expired or was
// revoked.
type LeaseReply struct {
	Header     *Header `json:"header,omitempty"`
	ID         int64   `json:"ID,string,omitempty"`
	TTLSeconds int64   `json:"TTL,string,omitempty"`
}

// KeepAliveReply is one message of the lease renewal stream.
type KeepAliveReply struct {
	Result *LeaseReply  `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// WatchCreateRequest opens a watch.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the body of a watch call.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// EventDelete is the Type of a deletion event. For a put, the default, Type is omitted.
const EventDelete = "DELETE"

// Event is a change of one key.
type Event struct {
	Type string    `json:"type,omitempty"`
	KV   *KeyValue `json:"kv,omitempty"`
}

// WatchResult is the content of a watch message.
type WatchResult struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchReply is one message of the watch stream.
type WatchReply struct {
	Result *WatchResult `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is an error that ends a stream.
type StreamError struct {
	Code    int    `json:"grpc_code,omitempty"`
	Message string `json:"message,omitempty"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the RangeEnd of the range of all keys with a prefix. For a prefix that is empty or all 0xff
// this is a single zero byte, which means that the range has no upper limit.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
