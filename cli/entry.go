package cli

import (
	"context"
	"os"
	"sync"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/internal/entrynode"
	"github.com/chivewind/chivewind/internal/logsink"
	"github.com/chivewind/chivewind/settings"
)

func (a *app) addEntry(k *kingpin.Application) {
	cmd := k.Command("entry", "Run an entry daemon on a prepared platform. SIGTERM stops it without cutting off a request; SIGHUP checks changed settings.")
	file := cmd.Flag("config", "Settings file.").Short('c').Envar("CHIVEWIND_SETTINGS").Required().ExistingFile()
	cmd.Action(func(*kingpin.ParseContext) error { return a.entry(*file) })
}

// entry runs an entry daemon until a signal ends a.ctx.
func (a *app) entry(file string) error {
	reload := surviveSignals()
	s, err := settings.ReadEntryFile(file)
	if err != nil {
		return err
	}
	out := logsink.New(a.stdout)
	defer out.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "chivewind", Level: hclog.LevelFromString(s.Log.Level), JSONFormat: *s.Log.JSON, Output: out,
	}).With("daemon", s.ID)
	n, err := entrynode.New(s, log)
	if err != nil {
		log.Error("daemon failed to start", "error", err)
		return err
	}
	// The watch outlives a.ctx, so that reloads still work during the graceful stop, and ends before out is closed.
	work, stop := context.WithCancel(context.WithoutCancel(a.ctx))
	var watch sync.WaitGroup
	watch.Go(func() { watchSettings(work, reload, file, s, log) })
	defer watch.Wait()
	defer stop()
	return n.Run(a.ctx)
}

// watchSettings reads the settings file again at each reload request, until ctx ends. It rejects invalid settings and those
// that fail Entry.CheckReload, and logs why. Otherwise it sets the log level. It ignores changes of other
// settings, which take effect at the next start, and does not log them.
func watchSettings(ctx context.Context, reload <-chan os.Signal, file string, current *settings.Entry, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		next, err := settings.ReadEntryFile(file)
		if err == nil {
			err = current.CheckReload(next)
		}
		if err != nil {
			log.Warn("changed settings rejected, the current settings stay in use", "file", file, "error", err)
			continue
		}
		log.SetLevel(hclog.LevelFromString(next.Log.Level))
		log.Info("settings reloaded", "file", file)
	}
}
