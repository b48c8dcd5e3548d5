package cli

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// tableWriter writes aligned columns.
type tableWriter struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer) *tableWriter {
	return &tableWriter{w: tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
}

// row writes one line. An empty cell is written as a dash, and line breaks in a cell as "; ".
func (t *tableWriter) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = strings.ReplaceAll(fmt.Sprint(c), "\n", "; ")
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *tableWriter) flush() error { return t.w.Flush() }

// clientTLS returns a TLS configuration that trusts only the certificate authorities in a PEM file.
func clientTLS(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read the certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", caFile)
	}
	return &tls.Config{RootCAs: pool}, nil
}
