// Package traffic defines the routing data of an entry daemon: the routing table in force, the registered
// endpoints, and the properties of a generation request. Values are immutable once published, so readers
// share them without locks.
package traffic

import (
	"sort"
	"strings"
	"time"
)

// Idempotence states whether an endpoint may execute a request again after a failed attempt.
type Idempotence uint8

// The values of Idempotence.
const (
	// AtMostOnce requests are sent to another endpoint only if they were not sent to the last one, or if that one
	// states that it did not execute them.
	AtMostOnce Idempotence = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Resumable streams may be continued by another endpoint after the last event that was delivered.
	Resumable
)

// Route maps the requests of one host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Class is the name of the request class. Routes of one class have the same tier and first-byte target, and share
	// statistics. Their event gap targets may differ.
	Class string
	// Stream is set when the response is a stream of server-sent events.
	Stream      bool
	Idempotence Idempotence
	// Tier is the priority of the class; 0 is the highest.
	Tier int
	// Timeout limits the whole request; zero means that the route sets no limit.
	Timeout time.Duration
	// FirstByte is the target for the time to the response, or to the first event of a stream.
	FirstByte time.Duration
	// EventGap is the target for the longest time between two events of a stream.
	EventGap time.Duration
	// Pools are the target pools; requests are distributed over them in proportion to their weights.
	Pools []WeightedPool
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
}

// WeightedPool is one target pool of a route.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a group of interchangeable endpoints.
type Pool struct {
	Name string
	// MaxConnections is the maximum number of connections that one endpoint accepts from all daemons together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of the pool's endpoints cannot be changed.
	Scaling *Scaling
}

// Scaling states within which limits the number of a pool's endpoints can be set, and at which price.
type Scaling struct {
	// Min and Max limit the number of endpoints in one availability zone, spot endpoints included.
	Min, Max int
	// Boot is the time from an order to the first request of a new endpoint.
	Boot time.Duration
	// SpotPrice is the price of a spot endpoint as a fraction of that of an on-demand one; 0 if there are none.
	SpotPrice float64
	// ZonePrices holds the price of an on-demand endpoint per second, by availability zone, in the platform's unit.
	ZonePrices map[string]float64
}

// Engine describes the inference engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache, which holds running requests and cached prompt
	// parts, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache entry in bytes, used to estimate transfer times.
	TokenBytes float64
	// LinkBytesPerMs is the network bandwidth between engines in bytes per millisecond.
	LinkBytesPerMs float64
	// EventTokens is the number of tokens per stream event.
	EventTokens int
}

// Workspace is a customer. Its API keys identify its requests.
type Workspace struct {
	Name string
	// Tier is the priority of the workspace, valid if HasTier is set; 0 is the highest. At engines it takes precedence
	// over the tier of the route. Placement uses only the tier of the route.
	Tier    int
	HasTier bool
}

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Routes  []Route
	Pools   map[string]Pool
	// MaxBody is the maximum size of a request body in bytes; 0 means that the table states no limit.
	MaxBody int64
	// KeysRequired is set when requests to non-public routes need an API key.
	KeysRequired bool
	// Keys maps API keys to workspaces.
	Keys map[string]Workspace

	byHost map[string][]*Route
}

// Index builds the host index that Lookup uses. It must be called once, before the table is published.
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

// Lookup returns the host's route with the longest prefix that matches path, or nil if none matches.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// EndpointState states whether an endpoint accepts new requests.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
)

// Endpoint is the registration of one running back end.
type Endpoint struct {
	// ID is the ID under which the endpoint is registered. A restarted endpoint may keep it; its incarnations then
	// differ in StartedAtMs.
	ID   string
	Pool string
	// Address is the host:port of the endpoint's HTTP server.
	Address string
	Zone    string
	// Slots is the number of requests that this endpoint executes concurrently.
	Slots int
	State EndpointState
	// StartedAtMs is the start time of the incarnation in Unix milliseconds; zero if unknown.
	StartedAtMs int64
	// Sequence increases with each report of the incarnation about itself; zero if unknown.
	Sequence int64
	// Spot is set if the platform may reclaim the endpoint at any time, together with all other spot endpoints of its
	// availability zone.
	Spot bool
	// LeavesIn is the time until a draining endpoint ends, as of the change of its entry; zero if unknown.
	LeavesIn time.Duration
}

// Part is one segment of a prompt. Requests with the same leading parts can share their cached KV state.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work of a generation request for an engine. Lengths are in tokens.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, and MaxOutput the maximum length of the output.
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's estimate of the output length; zero if none was given.
	OutputHint int
	// Parts are the prompt's parts in order. The last one is specific to the request or its session.
	Parts []Part
}

// SharedTokens returns the number of tokens in all parts but the last, which other requests may share.
func (p *Prompt) SharedTokens() int {
	n := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		n += p.Parts[i].Tokens
	}
	return n
}
