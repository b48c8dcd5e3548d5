package ledger

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/platform"
)

// Partitions is the number of partitions of the ledger.
const Partitions = 64

const (
	recordPrefix   = "ledger/record/"
	sequencePrefix = "ledger/sequence/"
	auditPrefix    = "audit/ledger/"
	// rolePrefix is the prefix of the partitions' lease roles, which are also their rendezvous keys.
	rolePrefix = "ledger-"
	// maxAuditEntries is the number of audit entries kept for each partition.
	maxAuditEntries = 100
)

// Key returns the ledger key of a request: a digest of the workspace, the route and the idempotency key.
func Key(workspace, route, idempotencyKey string) []byte {
	return dispatch.LedgerKey(workspace, route, idempotencyKey)
}

// PartitionOf returns the partition id of a ledger key.
func PartitionOf(key []byte) uint32 {
	if len(key) == 0 {
		return 0
	}
	return uint32(key[0]) % Partitions
}

// role returns the name of a partition's lease role, which is also its rendezvous key.
func role(partition uint32) string { return fmt.Sprintf("%s%02d", rolePrefix, partition) }

func partitionPrefix(partition uint32) string { return fmt.Sprintf("%s%02d/", recordPrefix, partition) }

func recordKey(partition uint32, key []byte) string {
	return partitionPrefix(partition) + hex.EncodeToString(key)
}

func sequenceKey(partition uint32) string { return fmt.Sprintf("%s%02d", sequencePrefix, partition) }

func decodeRecord(kv platform.KeyValue) (*peer.LedgerRecord, error) {
	r := &peer.LedgerRecord{}
	if err := proto.Unmarshal(kv.Value, r); err != nil {
		return nil, fmt.Errorf("ledger record %s: %w", kv.Key, err)
	}
	return r, nil
}

// position is the value of a partition's sequence key. Each transaction of the partition writes a new
// position and is conditional on the previous one, so that after a lost reply the position read shows
// whether the transaction was applied.
type position struct {
	// token is the fencing token of the owner that wrote it.
	token int64
	// number counts the transactions of that owner.
	number uint64
	// settlements counts the operators' decisions in the partition, over all owners. It selects the key
	// of the next audit entry.
	settlements uint64
}

func (p position) encode() []byte {
	return fmt.Appendf(nil, "%d %d %d", p.token, p.number, p.settlements)
}

func decodePosition(raw []byte) (position, error) {
	fields := strings.Fields(string(raw))
	if len(fields) != 3 {
		return position{}, fmt.Errorf("ledger sequence %q is malformed", raw)
	}
	var p position
	var err error
	if p.token, err = strconv.ParseInt(fields[0], 10, 64); err != nil {
		return position{}, err
	}
	if p.number, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
		return position{}, err
	}
	p.settlements, err = strconv.ParseUint(fields[2], 10, 64)
	return p, err
}
