package entry_test

import (
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

// FuzzDatagram guards against datagrams that crash the daemon: the port accepts datagrams from any sender.
func FuzzDatagram(f *testing.F) {
	chain := placement.NewPrefixChain(&traffic.Prompt{Tokens: 5010, Parts: []traffic.Part{{ID: "a", Tokens: 5000}, {ID: "b", Tokens: 10}}})
	placeDatagram := func(ends ...uint32) *peer.Datagram {
		return &peer.Datagram{Message: &peer.Datagram_Place{Place: &peer.PlaceRequest{
			Daemon: "d", Id: 1, Pool: "m", PromptTokens: 5010, SharedTokens: 5000, Parts: chain.Keys, PartEnds: ends, RemainingMs: 1000, FirstByteUs: 500000, MayWaitUs: 100000,
		}}}
	}
	for _, d := range []*peer.Datagram{
		placeDatagram(5000, 5010), placeDatagram(5010, 5000), placeDatagram(1<<32-1, 1), placeDatagram(),
		{Message: &peer.Datagram_Placed{Placed: &peer.PlaceReply{Id: 1, Hold: true}}},
		{Message: &peer.Datagram_Progress{Progress: &peer.ProgressReport{Daemon: "d", Items: []*peer.PlacedProgress{{Id: 1, Ended: true, Outcome: 99}}}}},
		{Message: &peer.Datagram_Report{Report: &peer.Report{
			Daemon: "d", Identity: &peer.Identity{Daemon: "d"}, Loads: []*peer.EndpointLoad{{Endpoint: 1, UnreadTokens: 1<<32 - 1, ScheduledStreams: 9}},
			Cached: []*peer.CachedPart{{Part: 1, Endpoint: 1, Tokens: 1<<32 - 1}}, Demand: []*peer.ClassDemand{{Class: 1, ReadPerS: 1<<32 - 1}},
		}}},
	} {
		raw, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &peer.Datagram{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}
		s := startSystem(t, unreachedTimeoutMs, &endpoint{id: "1", address: "127.0.0.1:1"})
		s.fleet.Members = []*fleet.Member{}
		for range 2 {
			if r := d.GetReport(); r != nil {
				s.HandleReport(r)
			} else {
				s.HandleDatagram(d, netip.AddrPort{})
			}
		}
		s.HandleDatagram(placeDatagram(5000, 5010), netip.AddrPort{})
		s.FillReport(&peer.Report{}, true)
	})
}
