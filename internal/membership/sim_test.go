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

// simLatency is the one-way latency of the simulated network.
const simLatency = 2 * time.Millisecond

// sim runs state machines in virtual time over a simulated network with faults. Packets are
// encoded, so that their size is known.
type sim struct {
	now     time.Duration
	codec   codec
	nodes   []*simNode
	byAddr  map[string]*simNode
	queue   simQueue
	lastSeq int
	// drops reports whether the network drops a packet.
	drops   func(from, to string) bool
	bytes   int64
	packets int64
	// exchanges counts exchanges of whole views. Their size is not part of bytes.
	exchanges int64
}

type simNode struct {
	id       string
	self     *peer.Member
	state    *swim.State
	down     bool
	paused   bool
	lastTick time.Duration
	inbox    []simPacket
	// lastAgreement and lastExchange mirror those of Membership, digest and generation those of its view.
	lastAgreement, lastExchange time.Duration
	digest                      uint64
	generation                  uint64
}

type simPacket struct {
	at       time.Duration
	seq      int
	from, to string
	payload  []byte
}

// simQueue is a heap of packets by arrival time and then by sequence number.
type simQueue []simPacket

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simPacket)) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSim returns a simulation of n daemons that know each other.
func newSim(n int, seed uint64, key []byte) *sim {
	s := &sim{codec: codec{key: key}, byAddr: map[string]*simNode{}, drops: func(_, _ string) bool { return false }}
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
		s.startNode(node, seed*1000+uint64(i))
		node.state.Merge(0, all)
	}
	return s
}

// startNode starts a process that knows no other member.
func (s *sim) startNode(node *simNode, seed uint64) {
	node.state = swim.New(swim.DefaultConfig(), node.self, rand.New(rand.NewPCG(seed, 1)))
	node.down = false
	node.lastTick = s.now
	node.lastAgreement = s.now
	s.byAddr[node.self.GossipAddress] = node
}

func (s *sim) node(id string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
	return s.nodes[i]
}

// run advances the virtual time. The ticks of different daemons are spread over the tick interval.
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
	if s.now-node.lastTick > PauseThreshold {
		node.state.ResumeAfterPause(s.now)
	}
	node.lastTick = s.now
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
		s.exchangeIfDiverged(node, s.byAddr[p.from], packet)
	}
}

// exchangeIfDiverged exchanges views as Membership does, but without delay.
func (s *sim) exchangeIfDiverged(node, sender *simNode, p *peer.Packet) {
	if p.Versions[0].Version == node.currentDigest() {
		node.lastAgreement = s.now
	}
	if !shouldExchange(s.now, node.lastAgreement, node.lastExchange) || sender.down || s.drops(node.id, sender.id) {
		return
	}
	node.lastExchange = s.now
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
		// The second version stands for the documents digest and has a realistic encoded size.
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
		if target == nil || s.drops(node.id, target.id) {
			continue
		}
		s.lastSeq++
		heap.Push(&s.queue, simPacket{
			at: s.now + simLatency, seq: s.lastSeq, from: node.self.GossipAddress, to: e.Address, payload: payload,
		})
	}
}

// resume continues a paused daemon, which first receives the packets that arrived meanwhile.
func (s *sim) resume(node *simNode) {
	node.paused = false
	inbox := node.inbox
	node.inbox = nil
	for _, p := range inbox {
		s.deliver(p)
	}
}

// views groups the running daemons by their sets of live members.
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

// viewsAgree reports whether all running daemons, other than those in except, see exactly n live
// members.
func (s *sim) viewsAgree(n int, except []string) bool {
	for _, node := range s.nodes {
		if !node.down && !node.paused && !slices.Contains(except, node.id) && len(node.state.Live()) != n {
			return false
		}
	}
	return true
}

// BenchmarkMembership measures the control traffic and the computing time per daemon, with all daemons
// of a cluster simulated in virtual time. ns/member-s is the run time of the simulation per daemon and
// second of virtual time.
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
						// In each period one daemon crashes and the previous one restarts.
						s.nodes[(i+1)%n].down = true
						if i > 0 {
							node := s.nodes[i%n]
							node.self.Incarnation += 1000
							s.startNode(node, uint64(i))
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

// converge runs until all running daemons see n live members, for at most limit, and returns the
// elapsed time.
func (s *sim) converge(limit time.Duration, n int) time.Duration {
	start := s.now
	for !s.viewsAgree(n, nil) && s.now-start < limit {
		s.run(tickInterval)
	}
	return s.now - start
}

// BenchmarkConvergence measures, in virtual time, how long all daemons of a cluster take to agree
// after a partition into halves, after the partition has healed, and after the loss of a rack (5%
// of the daemons).
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{8, 64, 390} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var rack, split, heal time.Duration
			var exchanges int64
			for i := range b.N {
				s := newSim(n, uint64(i)+1, nil)
				s.run(5 * time.Second)
				s.drops = func(from, to string) bool { return s.idNumber(from) < n/2 != (s.idNumber(to) < n/2) }
				split += s.converge(3*time.Minute, n/2)
				s.run(30 * time.Second)
				s.drops = func(_, _ string) bool { return false }
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

// idNumber returns the number in the id of a daemon.
func (s *sim) idNumber(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "d%d", &i)
	return i
}
