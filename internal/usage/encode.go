package usage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// maxDecodedBytes bounds what decode accepts.
const maxDecodedBytes = 16 << 20

// encode returns v as compressed JSON.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can be encoded
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}

// decode is the reverse of encode.
func decode(raw []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(raw))
	defer r.Close()
	decoded, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(decoded, v)
}

// encodeCounts returns nil for no counts.
func encodeCounts(requests map[string]int) []byte {
	if len(requests) == 0 {
		return nil
	}
	return encode(requests)
}

func decodeCounts(raw []byte) (map[string]int, error) {
	requests := map[string]int{}
	if len(raw) == 0 {
		return requests, nil
	}
	return requests, decode(raw, &requests)
}
