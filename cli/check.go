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

// checkResult is printed by check.
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
	if result.Kind == "configuration" {
		_, err = config.Parse(file, raw)
	} else {
		_, err = settings.Parse(file, raw)
	}
	if err != nil {
		return err
	}
	return a.print(result, func(t *tableWriter) { t.row(file + ": valid " + result.Kind) })
}

// fileKind tells a configuration from settings by a key that only a configuration has.
func fileKind(raw []byte) string {
	var top map[string]yaml.Node
	if yaml.Unmarshal(raw, &top) == nil {
		if _, ok := top["presets"]; ok {
			return "configuration"
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

// buildVersion returns the module version or the commit that the binary was built from.
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
