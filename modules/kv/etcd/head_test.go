package etcd

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/responsehead/headtest"
	"github.com/chivewind/chivewind/platform"
)

// TestTroubleInvalidReply guards against a write that counts as applied, or as not applied, after a reply with an invalid
// head, and against a read that has a result.
func TestTroubleInvalidReply(t *testing.T) {
	ctx := context.Background()
	for _, head := range headtest.Heads("") {
		for _, body := range []string{`{"code":3,"message":"etcdserver: key is not provided"}`, `{"succeeded":true,"TTL":"9","ID":"9"}`} {
			k := newKV(t, headtest.StartServer(t, head+"\r\n"+body))
			results := map[string]error{}
			_, results["transaction"] = k.Txn(ctx, platform.Txn{Then: []platform.Op{{Key: "k", Value: []byte("v")}}})
			_, results["grant"] = k.Grant(ctx, time.Second)
			for call, err := range results {
				if !errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, platform.ErrNotApplied) {
					t.Errorf("%q, %s: error %v, want an unknown outcome", head, call, err)
				}
			}
			if _, err := k.Range(ctx, platform.RangeRequest{Key: "k"}); !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("%q, range: error %v, want an unavailable service", head, err)
			}
		}
	}
}
