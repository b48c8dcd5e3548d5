package cli

import (
	"os"
	"os/signal"
	"syscall"
)

// surviveSignals gives SIGHUP and SIGPIPE, whose default actions end the process, handlers for the rest of the life of
// the process, a graceful stop included. The process gets SIGPIPE when it writes log lines to a pipe that nobody reads
// any more. The returned channel receives the reload requests (SIGHUP); requests that arrive before the last one
// is received are merged.
func surviveSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}
