package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// maxLoadReportBytes is the maximum size of a load report.
const maxLoadReportBytes = 1 << 20

// LoadReport is the JSON response to GET /load. Block hashes are hexadecimal strings, because 64-bit
// JSON numbers lose precision in some languages.
type LoadReport struct {
	TimeUnixMS      int64    `json:"time_unix_ms"`
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	BetweenTokensUS int64    `json:"between_tokens_us"`
	CacheSequence   uint64   `json:"cache_sequence"`
	CacheAdded      []string `json:"cache_added,omitempty"`
	CacheRemoved    []string `json:"cache_removed,omitempty"`
}

// Load implements endpoint.LoadReporter by GET /load?after=<cache sequence>.
func (k *Kind) Load(ctx context.Context, e config.Endpoint, after uint64) (endpoint.LoadReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/load?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	x, err := k.client.Send(req, false)
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	defer x.Response.Body.Close()
	if x.Response.StatusCode != http.StatusOK {
		return endpoint.LoadReport{}, fmt.Errorf("load report of %s: status %d", e.ID, x.Response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(x.Response.Body, maxLoadReportBytes))
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	var report LoadReport
	if err := json.Unmarshal(raw, &report); err != nil {
		return endpoint.LoadReport{}, fmt.Errorf("load report of %s: %w", e.ID, err)
	}
	return report.load()
}

func (r LoadReport) load() (endpoint.LoadReport, error) {
	l := endpoint.LoadReport{
		At:            time.UnixMilli(r.TimeUnixMS),
		Running:       r.Running,
		Waiting:       r.Waiting,
		BetweenTokens: time.Duration(r.BetweenTokensUS) * time.Microsecond,
		CacheSequence: r.CacheSequence,
	}
	var err error
	if l.CacheAdded, err = parseBlockHashes(r.CacheAdded); err != nil {
		return l, err
	}
	l.CacheRemoved, err = parseBlockHashes(r.CacheRemoved)
	return l, err
}

// parseBlockHashes parses hexadecimal block hashes.
func parseBlockHashes(hex []string) ([]uint64, error) {
	list := make([]uint64, 0, len(hex))
	for _, h := range hex {
		v, err := strconv.ParseUint(h, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("block hash %q: %w", h, err)
		}
		list = append(list, v)
	}
	return list, nil
}
