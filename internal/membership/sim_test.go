package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/peer"
)

// simLatency is the one-way delay of the simulated network.
const simLatency = 2 * time.Millisecond

// sim runs state machines in virtual time over a network with faults. Packets are encoded, so that
// their size is known.
type sim struct {
	now    time.Duration
	codec  codec
	nodes  []*simNode
	byAddr map[string]*simNode
	queue  simQueue
	order  int
	// lost says which packets the network drops.
	lost    func(from, to string) bool
	bytes   int64
	packets int64
	// exchanges counts exchanges of whole views, whose bytes are not in bytes.
	exchanges int64
}

type simNode struct {
	id     string
	self   *peer.Member
	state  *swim.State
	down   bool
	paused bool
	lastAt time.Duration
	inbox  []simPacket
	// agreed, exchanged, digest and generation are those of Membership.
	agreed, exchanged time.Duration
	digest            uint64
	generation        uint64
}

type simPacket struct {
	at       time.Duration
	order    int
	from, to string
	payload  []byte
}

// simQueue orders packets by arrival.
type simQueue []simPacket

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simPacket)) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}

func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSim returns n daemons that know each other.
func newSim(n int, seed uint64, key []byte) *sim {
	s := &sim{codec: codec{key: key}, byAddr: map[string]*simNode{}, lost: func(_, _ string) bool { return false }}
	var all []*peer.Member
	for i := range n {
		address := fmt.Sprintf("10.1.%d.%d:7946", i/250, i%250)
		self := &peer.Member{
			Id: fmt.Sprintf("d%d", i), Incarnation: 1760000000000, State: peer.MemberState_MEMBER_STATE_ALIVE,
			Zone: "sapporo-1", Region: "hokkaido", GossipAddress: address, PeerAddress: address,
			EntryUrl: "http://" + strings.TrimSuffix(address, ":7946") + ":8080",
		}
		all = append(all, self)
		s.nodes = append(s.nodes, &simNode{id: self.Id, self: self})
	}
	for i, node := range s.nodes {
		s.start(node, seed*1000+uint64(i))
		node.state.Merge(0, all)
	}
	return s
}

func (s *sim) start(node *simNode, seed uint64) {
	node.state = swim.New(swim.DefaultConfig(), node.self, rand.New(rand.NewPCG(seed, 1)))
	node.down = false
	node.lastAt = s.now
	node.agreed = s.now
	s.byAddr[node.self.GossipAddress] = node
}

func (s *sim) node(id string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
	return s.nodes[i]
}

// run advances the time. Ticks of different daemons are spread over the tick interval.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for s.now < end {
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			s.deliver(heap.Pop(&s.queue).(simPacket))
		}
		for i, node := range s.nodes {
			phase := time.Duration(i%50) * 2 * time.Millisecond
			if s.now%tickInterval == phase && !node.down && !node.paused {
				s.tick(node)
			}
		}
		s.now += 2 * time.Millisecond
	}
}

func (s *sim) tick(node *simNode) {
	if s.now-node.lastAt > PauseThreshold {
		node.state.ResumeAfterPause(s.now)
	}
	node.lastAt = s.now
	node.state.Tick(s.now)
	s.flush(node)
}

func (s *sim) deliver(p simPacket) {
	node := s.byAddr[p.to]
	switch {
	case node == nil || node.down:
	case node.paused:
		node.inbox = append(node.inbox, p)
	default:
		packet, err := s.codec.decode(p.payload)
		if err != nil {
			panic(err)
		}
		node.state.Handle(s.now, p.from, packet)
		s.flush(node)
		s.compare(node, s.byAddr[p.from], packet)
	}
}

// compare exchanges views as Membership does, without delay.
func (s *sim) compare(node, sender *simNode, p *peer.Packet) {
	if p.Versions[0].Version == node.currentDigest() {
		node.agreed = s.now
	}
	if !shouldExchange(s.now, node.agreed, node.exchanged) || sender.down || s.lost(node.id, sender.id) {
		return
	}
	node.exchanged = s.now
	s.exchanges++
	sender.state.Merge(s.now, node.state.All())
	node.state.Merge(s.now, sender.state.All())
}

func (n *simNode) currentDigest() uint64 {
	if n.generation != n.state.Generation() {
		n.generation = n.state.Generation()
		n.digest = digest(n.state.All())
	}
	return n.digest
}

func (s *sim) flush(node *simNode) {
	for _, e := range node.state.TakePackets() {
		e.Packet.Versions = []*peer.DocumentVersion{
			{Name: MembersDigestName, Version: node.currentDigest()}, {Version: 1 << 62},
		}
		trimPacket(e.Packet, MaxPacketBytes-s.codec.overhead())
		payload, err := s.codec.encode(e.Packet)
		if err != nil || len(payload) > MaxPacketBytes {
			panic(fmt.Sprintf("packet of %d bytes: %v", len(payload), err))
		}
		s.packets++
		s.bytes += int64(len(payload))
		target := s.byAddr[e.Address]
		if target == nil || s.lost(node.id, target.id) {
			continue
		}
		s.order++
		heap.Push(&s.queue, simPacket{
			at: s.now + simLatency, order: s.order, from: node.self.GossipAddress, to: e.Address, payload: payload,
		})
	}
}

// resume continues a paused daemon; packets that waited in its socket come first.
func (s *sim) resume(node *simNode) {
	node.paused = false
	inbox := node.inbox
	node.inbox = nil
	for _, p := range inbox {
		s.deliver(p)
	}
}

// views groups the running daemons by the members that they see live.
func (s *sim) views() string {
	var lines []string
	groups := map[string][]string{}
	for _, node := range s.nodes {
		if node.down || node.paused {
			continue
		}
		var live []string
		for _, m := range node.state.Live() {
			live = append(live, m.Id)
		}
		view := strings.Join(live, " ")
		if groups[view] == nil {
			lines = append(lines, view)
		}
		groups[view] = append(groups[view], node.id)
	}
	var out strings.Builder
	for _, view := range lines {
		fmt.Fprintf(&out, "%s: live %s\n", strings.Join(groups[view], " "), view)
	}
	return out.String()
}

// agree says whether all running daemons outside except see exactly n live members.
func (s *sim) agree(n int, except []string) bool {
	for _, node := range s.nodes {
		if !node.down && !node.paused && !slices.Contains(except, node.id) && len(node.state.Live()) != n {
			return false
		}
	}
	return true
}

// BenchmarkMembership measures the control traffic and the processor time of one daemon, for all
// daemons of a fleet in virtual time. ns/member-s is the time of one daemon for one second.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/churn=%v", n, churn), func(b *testing.B) {
				s := newSim(n, 1, []byte("0123456789abcdef"))
				s.run(30 * time.Second)
				s.bytes, s.packets, s.exchanges = 0, 0, 0
				b.ResetTimer()
				const seconds = 20
				for i := range b.N {
					if churn {
						// One daemon dies in each period, and the one before returns.
						s.nodes[(i+1)%n].down = true
						if i > 0 {
							node := s.nodes[i%n]
							node.self.Incarnation += 1000
							s.start(node, uint64(i))
							node.state.Merge(s.now, s.nodes[(i+2)%n].state.All())
						}
					}
					s.run(seconds * time.Second)
				}
				total := float64(b.N * n * seconds)
				b.ReportMetric(float64(s.bytes)/total, "B/member-s")
				b.ReportMetric(float64(s.packets)/total, "packets/member-s")
				b.ReportMetric(float64(s.exchanges)/total, "exchanges/member-s")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/member-s")
			})
		}
	}
}

// converge runs until all running daemons see n live members and returns the time that it took.
func (s *sim) converge(limit time.Duration, n int) time.Duration {
	start := s.now
	for !s.agree(n, nil) && s.now-start < limit {
		s.run(tickInterval)
	}
	return s.now - start
}

// BenchmarkConvergence measures, in virtual time, how long all daemons of a fleet take to agree after
// a partition into halves, after it has healed, and after the loss of a rack (5%).
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var rack, split, heal time.Duration
			var exchanges int64
			for i := range b.N {
				s := newSim(n, uint64(i)+1, nil)
				s.run(5 * time.Second)
				s.lost = func(from, to string) bool { return s.byID(from) < n/2 != (s.byID(to) < n/2) }
				split += s.converge(3*time.Minute, n/2)
				s.run(30 * time.Second)
				s.lost = func(_, _ string) bool { return false }
				s.exchanges = 0
				heal += s.converge(3*time.Minute, n)
				exchanges += s.exchanges
				for j := range max(1, n/20) {
					s.nodes[j].down = true
				}
				rack += s.converge(3*time.Minute, n-max(1, n/20))
			}
			b.ReportMetric(split.Seconds()/float64(b.N), "s-split")
			b.ReportMetric(heal.Seconds()/float64(b.N), "s-heal")
			b.ReportMetric(float64(exchanges)/float64(b.N*n), "exchanges/member")
			b.ReportMetric(rack.Seconds()/float64(b.N), "s-rack")
		})
	}
}

// byID returns the number in a daemon's id.
func (s *sim) byID(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "d%d", &i)
	return i
}
