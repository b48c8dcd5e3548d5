// Package clustertest has in-memory fakes of the interfaces of package cluster, and an in-memory network
// with fault injection, for tests.
package clustertest

import (
	"context"
	"errors"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/peer"
)

// Start runs a component of a daemon in the background. stop cancels its context and waits for its return.
func Start(ctx context.Context, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// Members is a fake of one daemon's membership view. Its live set is given by ids, and Owners hashes
// independently of package rendezvous; View uses that package.
type Members struct {
	mu          sync.Mutex
	self        *peer.Member
	live        []*peer.Member
	all         map[string]*peer.Member
	viewStale   bool
	subscribers []func()
}

var _ cluster.Members = (*Members)(nil)

// NewMembers returns the view of the daemon self with the given live daemons.
func NewMembers(self string, live ...string) *Members {
	m := &Members{self: &peer.Member{Id: self, Incarnation: 1, PeerAddress: self}, all: map[string]*peer.Member{}}
	m.all[self] = m.self
	m.SetLive(live...)
	return m
}

// SetLive replaces the live set.
func (m *Members) SetLive(ids ...string) {
	m.change(func() {
		m.live = nil
		sort.Strings(ids)
		for _, id := range ids {
			if m.all[id] == nil {
				m.all[id] = &peer.Member{Id: id, Incarnation: 1, PeerAddress: id}
			}
			m.live = append(m.live, m.all[id])
		}
	})
}

// SetViewFresh sets the result of ViewFresh.
func (m *Members) SetViewFresh(fresh bool) { m.change(func() { m.viewStale = !fresh }) }

func (m *Members) change(apply func()) {
	m.mu.Lock()
	apply()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// Self implements cluster.Members.
func (m *Members) Self() *peer.Member { return m.self }

// Live implements cluster.Members.
func (m *Members) Live() []*peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// All implements cluster.Members.
func (m *Members) All() []*peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*peer.Member
	for _, member := range m.all {
		all = append(all, member)
	}
	return all
}

// Owners implements cluster.Members.
func (m *Members) Owners(key string, n int) []*peer.Member {
	live := append([]*peer.Member(nil), m.Live()...)
	weight := func(i int) uint64 { return xxhash.Sum64String(key + "\x00" + live[i].Id) }
	sort.Slice(live, func(i, j int) bool { return weight(i) > weight(j) })
	return live[:min(n, len(live))]
}

// Subscribe implements cluster.Members.
func (m *Members) Subscribe(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// ViewFresh implements cluster.Members.
func (m *Members) ViewFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.viewStale
}

// Documents is a fake of one daemon's document store. Linked stores replicate published documents to
// each other synchronously.
type Documents struct {
	mu          sync.Mutex
	docs        map[string]document
	subscribers []func(string, uint64, []byte)
	links       []*Documents
}

type document struct {
	version uint64
	content []byte
}

var _ cluster.Documents = (*Documents)(nil)

// NewDocuments returns an empty store that is not linked.
func NewDocuments() *Documents { return &Documents{docs: map[string]document{}} }

// Link makes each store replicate published documents to the others, and replicates the present ones.
func Link(stores ...*Documents) {
	for _, d := range stores {
		d.mu.Lock()
		d.links = stores
		docs := make(map[string]document, len(d.docs))
		for name, doc := range d.docs {
			docs[name] = doc
		}
		d.mu.Unlock()
		for _, other := range stores {
			for name, doc := range docs {
				other.store(name, doc)
			}
		}
	}
}

// Unlink stops the replication of documents that are published to this store.
func (d *Documents) Unlink() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links = nil
}

// Publish implements cluster.Documents.
func (d *Documents) Publish(name string, version uint64, content []byte) bool {
	doc := document{version, content}
	stored := d.store(name, doc)
	d.mu.Lock()
	links := d.links
	d.mu.Unlock()
	for _, other := range links {
		other.store(name, doc)
	}
	return stored
}

func (d *Documents) store(name string, doc document) bool {
	d.mu.Lock()
	if doc.version <= d.docs[name].version {
		d.mu.Unlock()
		return false
	}
	d.docs[name] = doc
	subscribers := d.subscribers
	d.mu.Unlock()
	for _, f := range subscribers {
		f(name, doc.version, doc.content)
	}
	return true
}

// Get implements cluster.Documents.
func (d *Documents) Get(name string) (uint64, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.docs[name].version, d.docs[name].content
}

// Subscribe implements cluster.Documents.
func (d *Documents) Subscribe(f func(string, uint64, []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

// LedgerServer is the part of the peer service that Peers supports.
type LedgerServer interface {
	Serve(context.Context, *peer.LedgerRequest) (*peer.LedgerReply, error)
}

// Peers is a fake that connects daemons by direct function calls.
type Peers struct {
	mu      sync.Mutex
	servers map[string]LedgerServer
	// intercept, when set, is called with each call and decides whether and when to run it.
	intercept func(ctx context.Context, to string, call func() (*peer.LedgerReply, error)) (*peer.LedgerReply, error)
}

var _ cluster.Peers = (*Peers)(nil)

// NewPeers returns a Peers without servers.
func NewPeers() *Peers { return &Peers{servers: map[string]LedgerServer{}} }

// Serve makes a daemon reachable; a nil server makes it unreachable.
func (p *Peers) Serve(id string, s LedgerServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[id] = s
}

// Intercept sets a function that may delay, drop or repeat each call.
func (p *Peers) Intercept(f func(ctx context.Context, to string, call func() (*peer.LedgerReply, error)) (*peer.LedgerReply, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.intercept = f
}

// Client implements cluster.Peers.
func (p *Peers) Client(_ context.Context, member *peer.Member) (peer.DRPCPeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[member.Id] == nil {
		return nil, errors.New("daemon " + member.Id + " is not reachable")
	}
	return &client{peers: p, id: member.Id}, nil
}

// client implements the methods that tests use; the others panic.
type client struct {
	peer.DRPCPeerClient
	peers *Peers
	id    string
}

// Ledger calls the server. As over a real connection, the call may take effect after ctx is done.
func (c *client) Ledger(ctx context.Context, req *peer.LedgerRequest) (*peer.LedgerReply, error) {
	c.peers.mu.Lock()
	server, intercept := c.peers.servers[c.id], c.peers.intercept
	c.peers.mu.Unlock()
	if server == nil {
		return nil, errors.New("connection lost")
	}
	call := func() (*peer.LedgerReply, error) { return server.Serve(ctx, req) }
	if intercept != nil {
		return intercept(ctx, c.id, call)
	}
	return call()
}
