package admin

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/peer"
)

const (
	// statusTimeout limits the status call to one daemon.
	statusTimeout = 2 * time.Second
	// statusConcurrency is the maximum number of concurrent status calls for one request.
	statusConcurrency = 32
)

// memberStates maps member states to their names in responses.
var memberStates = map[peer.MemberState]string{
	peer.MemberState_MEMBER_STATE_ALIVE:   "alive",
	peer.MemberState_MEMBER_STATE_SUSPECT: "suspect",
	peer.MemberState_MEMBER_STATE_LEAVING: "leaving",
	peer.MemberState_MEMBER_STATE_DEAD:    "dead",
	peer.MemberState_MEMBER_STATE_LEFT:    "left",
}

// getStatus collects the status of all members. Dead members and members that have left are listed but
// not called.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	members := s.members.All()
	daemons := make([]adminapi.Daemon, len(members))
	var g errgroup.Group
	g.SetLimit(statusConcurrency)
	for i, m := range members {
		g.Go(func() error {
			daemons[i] = s.daemonStatus(r.Context(), m)
			return nil
		})
	}
	g.Wait()
	writeJSON(w, http.StatusOK, adminapi.Status{Daemons: daemons})
}

// daemonStatus returns the status of one member. An error of the call is stored in the result.
func (s *Server) daemonStatus(ctx context.Context, m *peer.Member) adminapi.Daemon {
	d := adminapi.Daemon{ID: m.Id, Zone: m.Zone, State: memberStates[m.State]}
	if m.State == peer.MemberState_MEMBER_STATE_DEAD || m.State == peer.MemberState_MEMBER_STATE_LEFT {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := s.fetchStatus(ctx, m)
	if err != nil {
		d.Error = err.Error()
		return d
	}
	d.Revision, d.Preset, d.Requests = reply.Revision, reply.Preset, int(reply.Requests)
	for _, shard := range reply.Shards {
		d.Shards = append(d.Shards, shardStatus(m.Id, shard))
	}
	return d
}

// fetchStatus returns the status of a member: directly for this daemon, else by a call over the peer
// connection.
func (s *Server) fetchStatus(ctx context.Context, m *peer.Member) (*peer.StatusReply, error) {
	if m.Id == s.members.Self().Id {
		return s.status(), nil
	}
	client, err := s.peers.Client(ctx, m)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, &peer.StatusRequest{})
}

func shardStatus(scheduler string, in *peer.ShardStatus) adminapi.Shard {
	out := adminapi.Shard{ID: in.Shard, Endpoints: []adminapi.Endpoint{}, Classes: []adminapi.Class{}}
	for _, e := range in.Endpoints {
		out.Endpoints = append(out.Endpoints, adminapi.Endpoint{ID: e.Id, Zone: e.Zone, State: e.State,
			Running: int(e.Running), Slots: int(e.Slots), Shard: in.Shard, Scheduler: scheduler})
	}
	for _, c := range in.Classes {
		out.Classes = append(out.Classes, adminapi.Class{Class: c.Class, Waiting: int(c.Waiting), Running: int(c.Running), Shed: c.Shed})
	}
	return out
}
