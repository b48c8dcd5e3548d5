// Package headtest helps to test clients with responses that have invalid heads.
package headtest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Heads returns invalid heads without the blank line at their end. Each holds the given lines of fields.
func Heads(fields string) []string {
	var heads []string
	for _, status := range []string{"000", "-00", "+20", "099", "101", "600", "999"} {
		heads = append(heads, "HTTP/1.1 "+status+" X\r\n"+fields)
	}
	for _, field := range []string{"X Note: 1", "Transfer-Encoding : chunked", "X-Note\t: 1", "X\x00Note: 1", "X\x7fNote: 1", ": 1", "X-Note"} {
		for _, status := range []string{"200", "404"} {
			heads = append(heads, "HTTP/1.1 "+status+" X\r\n"+fields+field+"\r\n")
		}
	}
	return heads
}

// StartServer starts a server that answers each request with the same bytes and closes the connection. It returns its URL.
func StartServer(t testing.TB, answer string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}
