// Package responsehead checks the heads of HTTP/1.1 responses, because net/http accepts some that are invalid.
package responsehead

import (
	"fmt"
	"net/http"
)

// Bounds of the statuses that RFC 9110 defines.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if a response that net/http has parsed has an invalid head. It must not be delivered then, and
// its connection must be closed, because it is unknown where the response ends.
func Check(resp *http.Response) error {
	switch status := resp.StatusCode; {
	case status < minStatus, status > maxStatus:
		return fmt.Errorf("response with the invalid status %03d", status)
	case status == http.StatusSwitchingProtocols:
		// Requests to endpoints have no Upgrade header.
		return fmt.Errorf("unexpected response with status %d", status)
	}
	return nil
}
