package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/internal/node"
	"github.com/chivewind/chivewind/settings"
)

// addServe adds the command that runs a daemon. SIGINT has the same effect as SIGTERM.
func (a *app) addServe(k *kingpin.Application) {
	cmd := k.Command("serve", "Run a daemon. SIGTERM stops it without cutting off a request; a second one ends it at once.")
	file := cmd.Flag("config", "Settings file.").Short('c').Required().ExistingFile()
	cmd.Action(func(*kingpin.ParseContext) error { return a.serve(*file) })
}

func (a *app) serve(file string) error {
	reload := surviveSignals()
	s, err := settings.ReadFile(file)
	if err != nil {
		return err
	}
	log := newLogger(s, a.stderr)
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			log.Warn("reload ignored, the settings are read only at the start")
		}
	}()
	force, stop := secondSignal(a.ctx)
	defer stop()
	return n.Run(a.ctx, force)
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(s *settings.Settings, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "chivewind", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: *s.Log.JSON, Output: out,
	})
}

// secondSignal returns a context that is canceled by the next SIGTERM or SIGINT after first is done.
func secondSignal(first context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-first.Done():
		case <-ctx.Done():
			return
		}
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
