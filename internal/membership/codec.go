package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// MaxPacket is the largest datagram in bytes. It stays below the smallest common path MTU, since a
// fragmented datagram is lost when any fragment is lost.
const MaxPacket = 1200

// Formats of a datagram, in its first byte.
const (
	formatPlain  = 0
	formatSigned = 1
)

// Errors of decode.
var (
	errFormat    = errors.New("membership packet: unknown format")
	errSignature = errors.New("membership packet: wrong or missing signature")
)

// codec encodes packets and authenticates them with HMAC-SHA256 when it has a key. A replayed
// packet is harmless: its updates carry incarnations and its sequence matches no open probe.
type codec struct {
	key []byte
}

func (c codec) overhead() int {
	if len(c.key) > 0 {
		return 1 + sha256.Size
	}
	return 1
}

func (c codec) encode(p *peer.Packet) ([]byte, error) {
	buf := make([]byte, 1, MaxPacket)
	buf[0] = formatPlain
	if len(c.key) > 0 {
		buf[0] = formatSigned
	}
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, p)
	if err != nil || len(c.key) == 0 {
		return buf, err
	}
	mac := hmac.New(sha256.New, c.key)
	mac.Write(buf)
	return mac.Sum(buf), nil
}

func (c codec) decode(buf []byte) (*peer.Packet, error) {
	if len(buf) < 1 {
		return nil, errFormat
	}
	body := buf
	switch {
	case len(c.key) > 0:
		if buf[0] != formatSigned || len(buf) < 1+sha256.Size {
			return nil, errSignature
		}
		body = buf[:len(buf)-sha256.Size]
		mac := hmac.New(sha256.New, c.key)
		mac.Write(body)
		if !hmac.Equal(mac.Sum(nil), buf[len(body):]) {
			return nil, errSignature
		}
	case buf[0] != formatPlain:
		return nil, errFormat
	}
	p := new(peer.Packet)
	return p, proto.Unmarshal(body[1:], p)
}
