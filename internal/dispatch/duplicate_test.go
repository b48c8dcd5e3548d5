package dispatch

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// TestRestarted guards against a duplicate that waits for a process that was replaced under the same ID, and
// against one that does not wait for a process that has only refuted suspicions.
func TestRestarted(t *testing.T) {
	const start = uint64(1_700_000_000_000)
	record := func(begun time.Duration) *peer.LedgerRecord {
		return &peer.LedgerRecord{MemberIncarnation: start, BegunUnixMs: int64(start) + begun.Milliseconds()}
	}
	for _, c := range []struct {
		desc        string
		record      *peer.LedgerRecord
		incarnation uint64
		want        bool
	}{
		{"same process", record(time.Hour), start, false},
		{"suspicions refuted", record(time.Hour), start + 40, false},
		{"suspicions refuted soon after the start", record(10 * time.Millisecond), start + 3, false},
		{"restarted at once", record(time.Hour), start + uint64(time.Hour.Milliseconds()), true},
		{"restarted later", record(time.Second), start + uint64(time.Minute.Milliseconds()), true},
		{"ledger owner's clock a minute ahead", record(time.Hour + time.Minute), start + uint64(time.Hour.Milliseconds()), true},
		{"record without a process", &peer.LedgerRecord{}, start, false},
	} {
		if got := processReplaced(&peer.Member{Incarnation: c.incarnation}, c.record); got != c.want {
			t.Errorf("%s: %v, want %v", c.desc, got, c.want)
		}
	}
}
