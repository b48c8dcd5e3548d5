package adminapi

import (
	"testing"

	"github.com/chivewind/chivewind/internal/responsehead/headtest"
)

// TestTroubleInvalidResponse guards against a change that is reported as made after a response that does not say so.
func TestTroubleInvalidResponse(t *testing.T) {
	heads := append(headtest.Heads("Content-Length: 2\r\n"), "HTTP/1.1 300 X\r\nContent-Length: 2\r\n", "HTTP/1.1 304 X\r\n")
	for _, head := range heads {
		c := &Client{Base: headtest.StartServer(t, head+"\r\n{}")}
		for _, out := range []any{nil, &struct{}{}} {
			if err := c.Send(t.Context(), "POST", "/admin/v1/ledger/settle", struct{}{}, 0, out); err == nil {
				t.Errorf("%q: no error", head)
			}
		}
	}
}
