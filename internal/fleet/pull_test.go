package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// TestMemberRoundTripsIdentity guards against losing a field of an identity in a Sync call. A call that lost the
// capacity of a daemon would make another daemon the preferred scheduler until the next report with the identity.
func TestMemberRoundTripsIdentity(t *testing.T) {
	id := &peer.Identity{
		Daemon: "a", Zone: "z", Region: "r", Capacity: 800, EntryAddress: "10.0.0.1:80", ControlAddress: "10.0.0.1:81", ReportAddress: "10.0.0.1:82",
	}
	fields := id.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if !id.ProtoReflect().Has(fields.Get(i)) {
			t.Fatalf("the test sets no %s", fields.Get(i).Name())
		}
	}
	if got := identityFromMember(memberFromIdentity(id)); !proto.Equal(got, id) {
		t.Errorf("got %v, want %v", got, id)
	}
}
