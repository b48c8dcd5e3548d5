// Package cli is the command line of chivewind.
package cli

import (
	"fmt"
	"io"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stdout, "chivewind")
	return 0
}
