// Package responsehead checks the heads of HTTP/1.1 responses, because net/http accepts some that are invalid.
package responsehead

import (
	"fmt"
	"net/http"
	"strings"
)

// Bounds of the statuses that RFC 9110 defines.
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuoted limits the bytes of a field name that are quoted in an error.
const maxQuoted = 64

// Check returns an error if a response that net/http has parsed has an invalid head. It must not be delivered then, and
// its connection must be closed, because it is unknown where the response ends.
func Check(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case status < minStatus, status > maxStatus:
		return fmt.Errorf("response with the invalid status %03d", status)
	case status == http.StatusSwitchingProtocols:
		// It answers an Upgrade header, which is never sent.
		return fmt.Errorf("unexpected response with status %d", status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error if the name of a field is invalid.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		// net/http rejects all other bytes that a field name must not contain.
		if strings.Contains(name, " ") {
			return fmt.Errorf("response with the invalid field name %q", name[:min(len(name), maxQuoted)])
		}
	}
	return nil
}

// Transport is an http.Transport that returns an error for a response with an invalid head.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		// The connection of a response without a body is in the pool already.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}
