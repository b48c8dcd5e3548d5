package cli

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/settings"
)

func (a *app) addCheck(k *kingpin.Application) {
	cmd := k.Command("check", "Check a settings or configuration file; each error names file, line and field.")
	file := cmd.Arg("file", "File to check.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return a.check(*file) })
}

// checkResult is the output of the check command.
type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
}

func (a *app) check(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	result := checkResult{File: file, Kind: fileKind(raw)}
	switch result.Kind {
	case "configuration":
		_, err = config.Parse(file, raw)
	case "entry settings":
		_, err = settings.ParseEntry(file, raw)
	default:
		_, err = settings.Parse(file, raw)
	}
	if err != nil {
		return err
	}
	return a.print(result, func(t *tableWriter) { t.row(file + ": valid " + result.Kind) })
}

// fileKind returns the kind of a file. It recognizes a configuration and the settings of an entry daemon by
// keys that only they have, and takes any other file for the settings of a daemon.
func fileKind(raw []byte) string {
	var top struct {
		Presets yaml.Node `yaml:"presets"`
		Listen  struct {
			Directory yaml.Node `yaml:"directory"`
			Control   yaml.Node `yaml:"control"`
		} `yaml:"listen"`
	}
	if yaml.Unmarshal(raw, &top) == nil {
		switch {
		case !top.Presets.IsZero():
			return "configuration"
		case !top.Listen.Directory.IsZero() || !top.Listen.Control.IsZero():
			return "entry settings"
		}
	}
	return "settings"
}

func (a *app) addVersion(k *kingpin.Application) {
	cmd := k.Command("version", "Print the version.")
	cmd.Action(func(*kingpin.ParseContext) error {
		v := struct {
			Version string `json:"version"`
			Go      string `json:"go"`
		}{buildVersion(), runtime.Version()}
		return a.print(v, func(t *tableWriter) { t.row(fmt.Sprintf("chivewind %s (%s)", v.Version, v.Go)) })
	})
}

// buildVersion returns the commit that the binary was built from, or the module version if the build has no
// commit.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
