package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// writeSplit writes a message in pieces that end at the given offsets, so that they arrive in different packets.
func writeSplit(conn net.Conn, message string, offsets []int) {
	for len(offsets) > 0 && offsets[0] < len(message) {
		_, _ = io.WriteString(conn, message[:offsets[0]])
		message = message[offsets[0]:]
		offsets = offsets[1:]
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(conn, message)
}

// TestTroubleLateCopy guards against a second copy of an answer that arrives late on a connection that is in use again:
// the next caller must get its own answer or an error, however the bytes are split over packets.
func TestTroubleLateCopy(t *testing.T) {
	copies := map[string]func(id string) string{
		"own ID":           func(id string) string { return response(id, "answer "+id) },
		"no ID":            func(id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer " + id[len(id)-1:] },
		"error without ID": func(string) string { return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" },
		"truncated head":   func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Le" },
		"truncated body": func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 400\r\n\r\nanswer " + id
		},
		"stream": func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n \r\n0\r\n\r\n"
		},
	}
	rapid.Check(t, func(rt *rapid.T) {
		copyOf := copies[rapid.SampledFrom([]string{"own ID", "no ID", "error without ID", "truncated head", "truncated body", "stream"}).Draw(rt, "copy")]
		when := rapid.SampledFrom([]string{"after the answer", "before the next request", "amid the next request"}).Draw(rt, "when")
		offsets := rapid.SliceOfN(rapid.IntRange(1, 60), 0, 3).Draw(rt, "offsets")
		address := startServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			previous := ""
			for {
				req, err := readRequest(r)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Id")
				if previous != "" && when == "amid the next request" {
					writeSplit(conn, copyOf(previous), offsets)
				}
				writeSplit(conn, response(id, "answer "+id), offsets)
				switch when {
				case "after the answer":
					writeSplit(conn, copyOf(id), offsets)
				case "before the next request":
					time.Sleep(3 * time.Millisecond)
					writeSplit(conn, copyOf(id), offsets)
				}
				previous = id
			}
		})
		client := newTestClient(t)
		defer client.Close()
		for i := range 3 {
			id := fmt.Sprintf("r%d", i)
			r := request(id)
			r.Header.Set("X-Id", id)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			resp, err := client.Send(ctx, address, r)
			if err == nil {
				body, err := io.ReadAll(resp)
				if err == nil && string(body) != "answer "+id {
					rt.Errorf("%s got %q", id, body)
				}
				resp.Close()
			}
			cancel()
			if when == "before the next request" {
				time.Sleep(6 * time.Millisecond)
			}
		}
	})
}
