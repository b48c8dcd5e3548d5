// Package traffic defines what an entry daemon knows of its surroundings: the routing table that is in
// force, the endpoints that serve it, and the properties of a request. The types are immutable once
// published, so that readers share them without locks.
package traffic

import (
	"sort"
	"strings"
	"time"
)

// Idempotence says how often one attempt of a caller may run.
type Idempotence uint8

// The values of Idempotence.
const (
	// AtMostOnce requests must not be sent again unless the endpoint states that it did not run them.
	AtMostOnce Idempotence = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Resumable streams may be continued by a further run that starts after the last event.
	Resumable
)

// Route sends the requests of one host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Class names the request class; routes of one class share targets and statistics.
	Class string
	// Stream says that the answer is a series of events.
	Stream      bool
	Idempotence Idempotence
	// Tier is the rank of the class; 0 is the highest.
	Tier int
	// Timeout bounds the whole request; zero means that only the caller's deadline does.
	Timeout time.Duration
	// FirstByte is the latency target up to the answer, or to a stream's first event.
	FirstByte time.Duration
	// Gap is the longest pause between two events that still meets the target.
	Gap time.Duration
	// Pools are the pools that the route's requests are spread over by weight.
	Pools []WeightedPool
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// WeightedPool is one target of a route.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a group of endpoints that serve the same requests.
type Pool struct {
	Name string
	// MaxConnections bounds the connections that one endpoint accepts from all daemons together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for running requests and cached prompt parts.
	CacheTokens int
	// TokenBytes is the size of one token's memory when it is transferred.
	TokenBytes float64
	// LinkBytesPerMs is the bandwidth between engines.
	LinkBytesPerMs float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Workspace is a customer whose keys identify its requests.
type Workspace struct {
	Name string
	// Tier replaces the tier of the route when HasTier is set.
	Tier    int
	HasTier bool
}

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Routes  []Route
	Pools   map[string]Pool
	// MaxBody bounds the body of a request, in bytes; 0 means that there is no limit.
	MaxBody int64
	// KeysRequired says that requests of routes that are not public need a key.
	KeysRequired bool
	// Keys maps a key to its workspace.
	Keys map[string]Workspace

	byHost map[string][]*Route
}

// Index prepares the table for lookups. It must be called once, before the table is published.
func (t *Table) Index() {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Lookup returns the route with the longest prefix of path among those of the host, or nil.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// EndpointState says whether an endpoint takes new requests.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
)

// Endpoint is one running back end, as it registered itself.
type Endpoint struct {
	// ID names one incarnation; a restarted endpoint usually has another one.
	ID      string
	Pool    string
	Address string
	Zone    string
	Slots   int
	State   EndpointState
	// Born is the start of the incarnation in Unix milliseconds; zero when it is not stated.
	Born int64
}

// Part is one part of a prompt. Requests that share their first parts share the cached state of them.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes what a generation request asks of an engine.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, and MaxOutput the bound of the answer.
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's estimate of the answer's tokens; zero when there is none.
	OutputHint int
	// Parts lists the prompt's parts in order; the last one belongs to the request or its session.
	Parts []Part
}

// SharedTokens returns the tokens of all parts but the last.
func (p *Prompt) SharedTokens() int {
	n := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		n += p.Parts[i].Tokens
	}
	return n
}
