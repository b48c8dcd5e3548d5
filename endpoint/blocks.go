package endpoint

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the size of a prefix block of a prompt, in bytes of text.
	BlockBytes = 256
	// MaxBlocks bounds the hashes sent with a request, because they travel in each Acquire.
	MaxBlocks = 32
)

// Blocks returns the chained hashes of the prompt's whole prefix blocks, the first block first.
// Equal hashes mean equal prefixes up to and including the block.
func Blocks(prompt string) []uint64 {
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
