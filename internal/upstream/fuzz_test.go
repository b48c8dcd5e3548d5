package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzAnswer guards against answers of a faulty endpoint that crash or hang the client, that are delivered although their
// head is invalid, that are taken for the answer to another request, or of which more is held than the limits allow.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(response("r", "answer")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc" + response("r", "answer")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n5;x\r\nhello\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 Busy\r\nKeep-Alive: timeout=5\r\n\r\n"))
	f.Add([]byte("\x00\x01no answer"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 000 X\r\nId: r\r\n\r\n" + response("r", "answer")))
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := newTestClient(t)
		defer client.Close()
		client.dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				_, _ = far.Write(answer)
				_ = far.Close()
			}()
			return near, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := client.Send(ctx, "endpoint", request("r"))
		if ctx.Err() != nil {
			t.Fatal("no result within 5 s")
		}
		if err != nil {
			return
		}
		defer resp.Close()
		if id := resp.Header.Get("Id"); id != "r" && (id != "" || resp.Status < 300) {
			t.Errorf("status %d with the ID %q was taken for the answer to r", resp.Status, id)
		}
		if resp.Status < 200 || resp.Status > 599 {
			t.Errorf("status %d was taken for an answer", resp.Status)
		}
		for name := range resp.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
				t.Errorf("an answer with the field name %q was accepted", name)
			}
		}
		body, err := io.ReadAll(resp)
		if err == nil && resp.Length >= 0 && int64(len(body)) != resp.Length {
			t.Errorf("%d of %d bytes look complete", len(body), resp.Length)
		}
	})
}
