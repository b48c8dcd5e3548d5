package scheduler

import (
	"context"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// idleTimeout is how long a stream without calls stays open. With hundreds of daemons, most pairs have
// no request in common at any time, and a ping each second would cost more than a new stream.
const idleTimeout = 15 * time.Second

// link is the client's side of one stream to a scheduler. A failed link is replaced, never reopened.
type link struct {
	client *Client
	member *peer.Member
	out    *outbox[*peer.ScheduleRequest]
	ctx    context.Context
	cancel context.CancelFunc

	// The following fields are guarded by Client.mu.

	// responsive is true once the scheduler has sent a message on the link.
	responsive bool
	// lastUsedAt is when the link last had a call.
	lastUsedAt time.Time
	encoder    progressEncoder
}

// transport sends and receives the messages of a link, over the network or within the daemon.
type transport interface {
	Send(*peer.ScheduleRequest) error
	Recv() (*peer.ScheduleReply, error)
	Close() error
}

// linkTo returns the link to a member. It starts a new one if there is none or if the old one has ended
// or is connected to another address. It returns nil after Stop. c.mu is held.
func (c *Client) linkTo(m *peer.Member) *link {
	if l := c.links[m.Id]; l != nil && l.connectsTo(m) {
		return l
	}
	if c.stopped {
		return nil
	}
	if old := c.links[m.Id]; old != nil {
		old.cancel()
	}
	l := &link{client: c, member: m, out: newOutbox[*peer.ScheduleRequest](), lastUsedAt: time.Now()}
	l.ctx, l.cancel = context.WithCancel(c.ctx)
	c.links[m.Id] = l
	c.count.streams.Inc(1)
	c.wg.Go(l.run)
	return l
}

// connectsTo reports whether the link is open to a member at its current address. It ignores the
// incarnation: a restarted member has a new address or has lost its connections, while a member that
// only increased its incarnation keeps them.
func (l *link) connectsTo(m *peer.Member) bool {
	return l.ctx.Err() == nil && l.member.Id == m.Id && l.member.PeerAddress == m.PeerAddress
}

// run connects, and then sends and receives until the link fails, is idle or is canceled.
func (l *link) run() {
	defer l.client.onLinkClosed(l)
	defer l.cancel()
	defer l.out.close()
	t, err := l.connect()
	if err != nil {
		l.client.cfg.Log.Debug("cannot open stream to scheduler", "peer", l.member.Id, "error", err)
		return
	}
	// Close unblocks a Send to a peer that does not read.
	stop := context.AfterFunc(l.ctx, func() { _ = t.Close() })
	defer stop()
	receiveTimer := time.AfterFunc(StreamTimeout, l.cancel)
	defer receiveTimer.Stop()
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer l.cancel()
		for {
			r, err := t.Recv()
			if err != nil {
				return
			}
			receiveTimer.Reset(StreamTimeout)
			l.client.onReply(l, r)
		}
	}()
	l.sendLoop(t)
	l.cancel()
	_ = t.Close()
	<-received
}

// sendLoop sends queued messages as they arrive, and a progress batch and a ping each PingInterval, until
// the link fails, is idle or is canceled.
func (l *link) sendLoop(t transport) {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	sequence := uint64(1)
	// The immediate first ping shows early whether the scheduler responds.
	err := t.Send(pingRequest(sequence))
	for err == nil {
		select {
		case <-l.ctx.Done():
			return
		case <-l.out.ready:
			items, _ := l.out.take()
			for _, m := range items {
				if err = t.Send(m); err != nil {
					return
				}
			}
		case <-ticker.C:
			batch, idle := l.client.progressBatch(l)
			if idle {
				return
			}
			if len(batch) > 0 {
				err = t.Send(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Progress{
					Progress: &peer.ProgressBatch{Items: batch},
				}})
			}
			if err == nil {
				sequence++
				err = t.Send(pingRequest(sequence))
			}
		}
	}
}

func pingRequest(sequence uint64) *peer.ScheduleRequest {
	return &peer.ScheduleRequest{Message: &peer.ScheduleRequest_Ping{Ping: &peer.Ping{Sequence: sequence}}}
}

// connect opens a stream to the member and sends the Hello, or opens a local session if the member is this
// daemon.
func (l *link) connect() (transport, error) {
	c := l.client
	self := c.cfg.Members.Self()
	if l.member.Id == self.Id && c.cfg.Local != nil {
		return newLocalTransport(c.cfg.Local, self), nil
	}
	client, err := c.cfg.Peers.Client(l.ctx, l.member)
	if err != nil {
		return nil, err
	}
	stream, err := client.Schedule(l.ctx)
	if err != nil {
		return nil, err
	}
	hello := &peer.Hello{MemberId: self.Id, Incarnation: self.Incarnation}
	if err := stream.Send(&peer.ScheduleRequest{Message: &peer.ScheduleRequest_Hello{Hello: hello}}); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// progressBatch returns the progress of the link's calls. If the link has had no calls for idleTimeout, it
// closes the link and returns idle as true.
func (c *Client) progressBatch(l *link) (items []*peer.Progress, idle bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.encoder.releaseUnused(func(k *call) bool { return k.link == l && c.calls[k.id] == k })
	for _, k := range c.calls {
		if k.link != l {
			continue
		}
		l.lastUsedAt = now
		if p := k.progress(); p != nil {
			l.encoder.encode(k, p)
			items = append(items, p)
		}
	}
	if now.Sub(l.lastUsedAt) < idleTimeout {
		return items, false
	}
	if c.links[l.member.Id] == l {
		delete(c.links, l.member.Id)
	}
	l.cancel()
	return nil, true
}

// onLinkClosed removes a closed link. If calls were bound to it, onLinkClosed unbinds them, records a
// failure of the link's member and triggers the placement of the calls.
func (c *Client) onLinkClosed(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.member.Id] == l {
		delete(c.links, l.member.Id)
	}
	affected := false
	for _, k := range c.calls {
		if k.link == l {
			k.link = nil
			affected = true
		}
	}
	if !affected {
		return
	}
	b := c.streamBackoffs[l.member.Id]
	if b == nil {
		b = &backoff{}
		c.streamBackoffs[l.member.Id] = b
	}
	if l.responsive {
		b.failures = 0
	}
	b.recordFailure(time.Now(), true)
	c.triggerPlacement()
}
