// Package swim implements the state machine of the SWIM membership protocol: random probes,
// indirect probes, suspicion, incarnations and piggybacked updates.
//
// It has no goroutines, sockets or clocks. The caller passes the time as the duration since an
// arbitrary start, serializes all calls and sends the packets that State.TakePackets returns.
package swim

import (
	"time"

	"github.com/chivewind/chivewind/peer"
)

// Config holds the timing and the limits of the protocol.
type Config struct {
	// ProbeInterval is the time between probes. Each probe targets one member.
	ProbeInterval time.Duration
	// AckTimeout is how long to wait for a direct ack before sending indirect probes.
	AckTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a target indirectly.
	IndirectProbes int
	// SuspicionTimeout is how long a suspected member has to refute before it is declared dead.
	SuspicionTimeout time.Duration
	// ReconnectInterval is the time between pings to a random dead member, which let the sides of a
	// healed partition merge. Each member must be told once that it was declared dead, so the
	// interval affects how fast the sides of a large cluster merge.
	ReconnectInterval time.Duration
	// DeadRetention is how long members that are dead or have left are kept.
	DeadRetention time.Duration
	// FlapWindow is the time after a return from the dead state in which another return counts as
	// flapping.
	FlapWindow time.Duration
	// MinFlapExclusion and MaxFlapExclusion bound how long a flapping member is excluded from the
	// live members.
	MinFlapExclusion time.Duration
	MaxFlapExclusion time.Duration
	// MaxUpdateBytes bounds the encoded size of the member updates in one packet.
	MaxUpdateBytes int
	// Fanout is the number of random members that State.Advertise sends to.
	Fanout int
}

// DefaultConfig returns the default timing and limits.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		AckTimeout:        300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionTimeout:  4 * time.Second,
		ReconnectInterval: 2 * time.Second,
		DeadRetention:     30 * time.Minute,
		FlapWindow:        5 * time.Minute,
		MinFlapExclusion:  5 * time.Second,
		MaxFlapExclusion:  60 * time.Second,
		MaxUpdateBytes:    700,
		Fanout:            3,
	}
}

// Envelope is a packet with its destination.
type Envelope struct {
	// Address is the host:port of the destination over UDP.
	Address string
	Packet  *peer.Packet
}

// Aliases of the generated constants.
const (
	alive   = peer.MemberState_MEMBER_STATE_ALIVE
	suspect = peer.MemberState_MEMBER_STATE_SUSPECT
	leaving = peer.MemberState_MEMBER_STATE_LEAVING
	dead    = peer.MemberState_MEMBER_STATE_DEAD
	left    = peer.MemberState_MEMBER_STATE_LEFT
)

// precedence orders the states within one incarnation: a record with a higher precedence replaces one
// with a lower precedence. Leaving ranks above suspect, so that a suspicion cannot bring a leaving
// member back into the live members, which may own roles. Unknown states have precedence 0.
func precedence(s peer.MemberState) int {
	switch s {
	case alive:
		return 1
	case suspect:
		return 2
	case leaving:
		return 3
	case dead:
		return 4
	case left:
		return 5
	}
	return 0
}

// Supersedes reports whether record a replaces record b of the same member.
func Supersedes(a, b *peer.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return precedence(a.State) > precedence(b.State)
}
