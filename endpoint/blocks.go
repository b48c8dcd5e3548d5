package endpoint

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the size of a prompt prefix block, in bytes of text.
	BlockBytes = 256
	// MaxBlocks limits the number of block hashes per request, because every Acquire message carries them.
	MaxBlocks = 32
)

// PrefixHashes returns the chained hashes of the prompt's complete prefix blocks, in order. Two prompts with the
// same hash for a block are taken to have the same prefix up to and including that block.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	var d xxhash.Digest
	d.Reset()
	for i := range n {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
