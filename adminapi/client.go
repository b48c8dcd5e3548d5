package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chivewind/chivewind/internal/responsehead"
)

// clientTimeout limits one call. After the key-value service has lost the reply to a change, the daemon may take
// 8 s to determine the outcome and 2 s to write the audit entry.
const clientTimeout = 20 * time.Second

// Client calls the administration API of one daemon.
type Client struct {
	// Base is the base URL, for example http://127.0.0.1:7001.
	Base string
	// Key is the operator's key; empty if no operators are configured.
	Key string
	// HTTP is the HTTP client; nil selects one with a timeout of 20 s.
	HTTP *http.Client
}

// Get requests path and decodes the JSON response into out. A response with a status of 300 or above
// is returned as an *Error.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, 0, out)
}

// Send calls path with in as the JSON body and decodes the response into out; either may be nil. A
// revision above 0 is sent as If-Match. Errors are those of Get.
func (c *Client) Send(ctx context.Context, method, path string, in any, revision uint64, out any) error {
	return c.call(ctx, method, path, in, revision, out)
}

func (c *Client) call(ctx context.Context, method, path string, in any, revision uint64, out any) error {
	req, err := c.request(ctx, method, path, in, revision)
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Timeout: clientTimeout}
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call the administration API at %s: %w", c.Base, err)
	}
	defer resp.Body.Close()
	if err := responsehead.Check(resp); err != nil {
		return fmt.Errorf("call the administration API at %s: %w", c.Base, err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the response from %s: %w", c.Base, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		apiErr := &Error{}
		if json.Unmarshal(raw, apiErr) != nil || apiErr.Message == "" {
			apiErr.Message = fmt.Sprintf("%s: %s", resp.Status, strings.TrimSpace(string(raw)))
		}
		return apiErr
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func (c *Client) request(ctx context.Context, method, path string, in any, revision uint64) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Base, "/")+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if revision > 0 {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(revision, 10)))
	}
	return req, nil
}
