package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// parse returns a response that net/http accepts.
func parse(t *testing.T, head string) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	if err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	return resp
}

// TestStatus guards against an invalid status, and against rejecting one that is valid.
func TestStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "-00": false, "+20": false, "001": false, "099": false, "101": false, "600": false, "999": false,
		"100": true, "103": true, "200": true, "299": true, "304": true, "418": true, "503": true, "599": true,
	} {
		if err := Check(parse(t, "HTTP/1.1 "+status+" X\r\n\r\n")); (err == nil) != valid {
			t.Errorf("status %s: %v", status, err)
		}
	}
}

// TestFieldName guards against a field name with a blank, and against rejecting one that is valid.
func TestFieldName(t *testing.T) {
	for field, valid := range map[string]bool{
		"Content-Length : 1": false, "X Note: 1": false, "X-Note  : 1": false, "X" + strings.Repeat(" ", 4000) + ": 1": false,
		"X-Note: a b": true, "!#$%&'*+-.^_`|~09aZ: 1": true, "x-note:": true,
	} {
		if err := Check(parse(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n")); (err == nil) != valid {
			t.Errorf("%.40q: %v", field, err)
		}
	}
}
