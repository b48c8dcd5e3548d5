// Package swim is the state machine of the SWIM membership protocol: random probes, indirect
// probes, suspicion, incarnations and piggybacked updates.
//
// It is pure: it has no goroutines, sockets or clocks. The caller passes the time as the duration
// since an arbitrary start, serializes all calls and sends the packets that Take returns.
package swim

import (
	"time"

	"github.com/chivewind/chivewind/peer"
)

// Config holds the protocol's times and limits.
type Config struct {
	// ProbeInterval is the time between probes of one member each.
	ProbeInterval time.Duration
	// AckTimeout is the wait for a direct ack before indirect probes are sent.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on this member's behalf.
	IndirectProbes int
	// SuspicionTimeout is the time in which a suspected member can refute.
	SuspicionTimeout time.Duration
	// ReconnectInterval is the time between probes of one dead member, which heal a partition.
	// After the partition of a large fleet each member must be told once that it was declared dead.
	ReconnectInterval time.Duration
	// ForgetAfter is how long dead members are kept.
	ForgetAfter time.Duration
	// FlapWindow is the time in which a second return counts as flapping.
	FlapWindow time.Duration
	// FlapMin and FlapMax bound how long a flapping member is excluded.
	FlapMin time.Duration
	FlapMax time.Duration
	// UpdateBytes bounds the encoded updates in one packet.
	UpdateBytes int
	// Fanout is the number of members told at once about urgent news.
	Fanout int
}

// DefaultConfig returns the values of the design page.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		AckTimeout:        300 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionTimeout:  4 * time.Second,
		ReconnectInterval: 2 * time.Second,
		ForgetAfter:       30 * time.Minute,
		FlapWindow:        5 * time.Minute,
		FlapMin:           5 * time.Second,
		FlapMax:           60 * time.Second,
		UpdateBytes:       700,
		Fanout:            3,
	}
}

// Envelope is a packet to send.
type Envelope struct {
	// Address is host:port over UDP.
	Address string
	Packet  *peer.Packet
}

// Short names of the generated constants.
const (
	alive   = peer.MemberState_MEMBER_STATE_ALIVE
	suspect = peer.MemberState_MEMBER_STATE_SUSPECT
	leaving = peer.MemberState_MEMBER_STATE_LEAVING
	dead    = peer.MemberState_MEMBER_STATE_DEAD
	left    = peer.MemberState_MEMBER_STATE_LEFT
)

// precedence orders the states within one incarnation: a later state replaces an earlier one.
// Leaving ranks above suspect, so that a suspicion cannot return a leaving member to entry answers.
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

// Supersedes says whether a replaces b, both about the same member.
func Supersedes(a, b *peer.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return precedence(a.State) > precedence(b.State)
}
