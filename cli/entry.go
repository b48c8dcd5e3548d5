package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
	ctx, stop := context.WithCancel(a.ctx)
	defer stop()
	go watchSettings(ctx, file, s, log)
	return n.Run(ctx)
}

// watchSettings reads the settings file again at each SIGHUP. It rejects invalid settings and those
// that fail Entry.CheckReload, and logs why. Otherwise it sets the log level. It ignores changes of other
// settings, which take effect at the next start, and does not log them.
func watchSettings(ctx context.Context, file string, current *settings.Entry, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
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
