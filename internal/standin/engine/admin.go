package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

// loadReport is a snapshot of the load.
type loadReport struct {
	at               time.Time
	running, waiting int
	betweenTokens    time.Duration
}

// loadJSON is the response body of GET /load.
type loadJSON struct {
	TimeUnixMS      int64    `json:"time_unix_ms"`
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	BetweenTokensUS int64    `json:"between_tokens_us"`
	CacheSequence   uint64   `json:"cache_sequence"`
	CacheAdded      []string `json:"cache_added,omitempty"`
	CacheRemoved    []string `json:"cache_removed,omitempty"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	running, waiting := e.batch.load()
	_, slowdown := e.ongoingFaults()
	now := loadReport{at: time.Now(), running: running, waiting: waiting,
		betweenTokens: time.Duration(float64(e.batch.tokenTime()) * slowdown)}
	e.mu.Lock()
	if now.at.Sub(e.lastReport.at) >= e.options.ReportLag {
		e.lastReport = now
	}
	rep := e.lastReport
	e.mu.Unlock()
	body := loadJSON{
		TimeUnixMS: rep.at.UnixMilli(), Running: rep.running, Waiting: rep.waiting,
		BetweenTokensUS: rep.betweenTokens.Microseconds(),
	}
	body.CacheSequence, body.CacheAdded, body.CacheRemoved = e.cache.eventsAfter(after)
	crashserver.WriteJSON(w, body)
}

// runsJSON is the response body of GET /admin/runs.
type runsJSON struct {
	ByID       map[string]AttemptCounts `json:"by_id"`
	ByPrompt   map[string]AttemptCounts `json:"by_prompt"`
	Mismatches int                      `json:"mismatches"`
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashserver.WriteJSON(w, runsJSON{ByID: e.byID, ByPrompt: e.byPrompt, Mismatches: e.mismatches})
}
