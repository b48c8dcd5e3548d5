package http

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/standin/vmlist"
	"github.com/chivewind/chivewind/platform/contract"
)

// TestContract guards against violations of the contract of platform.VMList.
func TestContract(t *testing.T) {
	contract.TestVMList(t, func(t *testing.T) *contract.VMListFixture {
		fake := vmlist.New()
		server := httptest.NewServer(fake)
		l := &List{URL: server.URL + vmlist.PathVMs, Timeout: config.Duration(time.Second)}
		if err := l.Validate(); err != nil {
			t.Fatal(err)
		}
		if err := l.Provision(&chivewind.Context{}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			l.Stop(t.Context())
			server.Close()
		})
		return &contract.VMListFixture{VMList: l, Put: fake.Put, Remove: fake.Remove, SetDown: fake.SetDown}
	})
}
