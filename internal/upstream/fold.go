package upstream

import "errors"

// errFoldedField means that a line of a head begins with a blank. RFC 9112 lets a proxy reject such a response. net/http
// appends the line to the field before it, so that a field for the framing of the body may go unnoticed.
var errFoldedField = errors.New("response with a folded field")

// foldScanner looks for lines that begin with a blank in one head, whose bytes are passed to scan in order. What follows
// the head is ignored.
type foldScanner struct {
	// lineLength is the length of the current line so far, without carriage returns.
	lineLength int
	ended      bool
	folded     bool
}

func (s *foldScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\n':
			s.ended, s.lineLength = s.lineLength == 0, 0
		case b != '\r':
			s.folded = s.folded || s.lineLength == 0 && (b == ' ' || b == '\t')
			s.lineLength++
		}
	}
}
