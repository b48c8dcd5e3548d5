package http

import (
	"errors"
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/responsehead/headtest"
	"github.com/chivewind/chivewind/platform"
)

// TestTroubleInvalidReply guards against a list of VMs from a reply with an invalid head.
func TestTroubleInvalidReply(t *testing.T) {
	for _, head := range headtest.Heads("") {
		l := &List{URL: headtest.StartServer(t, head+"\r\n"+`{"vms":[]}`), Timeout: config.Duration(5 * time.Second)}
		if err := l.Provision(&chivewind.Context{}); err != nil {
			t.Fatal(err)
		}
		if vms, err := l.List(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("%q: %+v, error %v, want an unavailable list", head, vms, err)
		}
	}
}
