package fleet

import (
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

const (
	// maxDecodedBytes limits the size of a decompressed reply or patched value. The store's values have at most 1 MiB.
	maxDecodedBytes = 8 << 20
	// minCompressedBytes is the size from which the fields of a reply are compressed.
	minCompressedBytes = 512
	// patchDictionary is the ID of the dictionary of a patch, which is the value to which the patch applies.
	patchDictionary = 1
)

// newEncoder and newDecoder return a Zstandard encoder or decoder for whole messages that uses one thread.
func newEncoder(o ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append(o, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))...)
}

func newDecoder(o ...zstd.DOption) (*zstd.Decoder, error) {
	return zstd.NewReader(nil, append(o, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes))...)
}

// replyEncoder and replyDecoder are shared by all replies. They are safe for concurrent use.
var (
	replyEncoder = sync.OnceValues(func() (*zstd.Encoder, error) { return newEncoder() })
	replyDecoder = sync.OnceValues(func() (*zstd.Decoder, error) { return newDecoder() })
)

// encodePatch returns a patch that turns base into value. An unchanged passage costs a few bytes, whatever its length.
func encodePatch(base, value []byte) ([]byte, error) {
	window := max(1<<bits.Len(uint(len(base)+len(value))), zstd.MinWindowSize)
	e, err := newEncoder(zstd.WithEncoderDictRaw(patchDictionary, base), zstd.WithWindowSize(window))
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(value, nil), e.Close()
}

// applyPatch returns the value that encodePatch encoded for the same base.
func applyPatch(base, patch []byte) ([]byte, error) {
	d, err := newDecoder(zstd.WithDecoderDictRaw(patchDictionary, base))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(patch, nil)
}

// compressReply replaces the fields of a reply by their compressed form if that is smaller.
func compressReply(reply *peer.SyncReply) (*peer.SyncReply, error) {
	raw, err := proto.Marshal(reply)
	if err != nil || len(raw) < minCompressedBytes {
		return reply, err
	}
	e, err := replyEncoder()
	if err != nil {
		return nil, err
	}
	compressed := e.EncodeAll(raw, nil)
	if len(compressed) >= len(raw) {
		return reply, nil
	}
	return &peer.SyncReply{Compressed: compressed}, nil
}

// decompressReply reverses compressReply.
func decompressReply(reply *peer.SyncReply) (*peer.SyncReply, error) {
	if len(reply.Compressed) == 0 {
		return reply, nil
	}
	d, err := replyDecoder()
	if err != nil {
		return nil, err
	}
	raw, err := d.DecodeAll(reply.Compressed, nil)
	if err != nil {
		return nil, err
	}
	decoded := &peer.SyncReply{}
	return decoded, proto.Unmarshal(raw, decoded)
}
