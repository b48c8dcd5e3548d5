package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
)

func (a *app) addPreset(k *kingpin.Application) {
	cmd := k.Command("preset", "List, show, edit and switch presets.")
	cmd.Command("list", "List the presets and the one in force.").Action(func(*kingpin.ParseContext) error { return a.presetList() })

	show := cmd.Command("show", "Show a preset as YAML.")
	name := show.Arg("name", "Name of the preset.").Required().String()
	show.Action(func(*kingpin.ParseContext) error { return a.presetShow(*name) })

	apply := cmd.Command("apply", "Create or replace a preset from a YAML file.")
	file := apply.Arg("file", "File with one preset.").Required().ExistingFile()
	applyBaseRevision := apply.Flag("revision", "Revision of the preset that you saw; default: the revision in the file, 0 for a new preset.").Uint64()
	apply.Action(func(*kingpin.ParseContext) error { return a.presetApply(*file, *applyBaseRevision) })

	switchCmd := cmd.Command("switch", "Put a preset in force.")
	target := switchCmd.Arg("name", "Name of the preset.").Required().String()
	baseRevision := switchCmd.Flag("revision", "Revision of the preset that you saw; default: read it now.").Uint64()
	switchCmd.Action(func(*kingpin.ParseContext) error { return a.presetSwitch(*target, *baseRevision) })
}

func (a *app) presetList() error {
	var list adminapi.PresetList
	if err := a.get("/admin/v1/presets", &list); err != nil {
		return err
	}
	return a.print(list, func(t *tableWriter) {
		t.row("PRESET", "REVISION", "CLASSES", "IN FORCE")
		for _, p := range list.Presets {
			inForce := ""
			if p.Name == list.Active {
				inForce = "yes"
			}
			t.row(p.Name, p.Revision, len(p.Classes), inForce)
		}
	})
}

func (a *app) presetShow(name string) error {
	p, err := a.preset(name)
	if err != nil {
		return err
	}
	if a.output == "json" {
		return a.print(p, nil)
	}
	return yaml.NewEncoder(a.stdout).Encode(p)
}

func (a *app) preset(name string) (config.Preset, error) {
	var p config.Preset
	err := a.get("/admin/v1/presets/"+url.PathEscape(name), &p)
	return p, err
}

func (a *app) presetApply(file string, baseRevision uint64) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	p, err := config.ParsePreset(file, raw)
	if err != nil {
		return err
	}
	if baseRevision == 0 {
		baseRevision = p.Revision
	}
	return a.sendChange(http.MethodPut, "/admin/v1/presets/"+url.PathEscape(p.Name), p, baseRevision)
}

func (a *app) presetSwitch(name string, baseRevision uint64) error {
	if baseRevision == 0 {
		p, err := a.preset(name)
		if err != nil {
			return err
		}
		baseRevision = p.Revision
	}
	return a.sendChange(http.MethodPost, "/admin/v1/switch",
		adminapi.SwitchRequest{Preset: name, PresetRevision: baseRevision}, 0)
}

// sendChange sends a change to the administration API and prints the accepted revision and the attempt ID.
// revision is the revision that the change is based on; 0 sends none.
func (a *app) sendChange(method, path string, in any, revision uint64) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var change adminapi.Change
	if err := c.Send(a.ctx, method, path, in, revision, &change); err != nil {
		return err
	}
	return a.print(change, func(t *tableWriter) {
		t.row("accepted", "revision", change.Revision, "attempt", change.AttemptID)
	})
}

func (a *app) addConfig(k *kingpin.Application) {
	cmd := k.Command("config", "Show and replace the whole configuration.")
	cmd.Command("show", "Show the configuration in force as YAML.").Action(func(*kingpin.ParseContext) error { return a.configShow() })

	apply := cmd.Command("apply", "Replace the configuration from a YAML file.")
	file := apply.Arg("file", "Configuration file.").Required().ExistingFile()
	baseRevision := apply.Flag("revision", "Revision that you saw; default: read it now.").Uint64()
	apply.Action(func(*kingpin.ParseContext) error { return a.configApply(*file, *baseRevision) })

	cmd.Command("history", "List the accepted changes.").Action(func(*kingpin.ParseContext) error { return a.audit("accepted") })

	attempt := cmd.Command("attempt", "Ask for the outcome of a change.")
	id := attempt.Arg("id", "Attempt id of the change.").Required().String()
	attempt.Action(func(*kingpin.ParseContext) error { return a.configAttempt(*id) })
}

func (a *app) configShow() error {
	var c adminapi.Config
	if err := a.get("/admin/v1/config", &c); err != nil {
		return err
	}
	if a.output == "json" {
		return a.print(c, nil)
	}
	fmt.Fprintf(a.stdout, "# revision %d\n", c.Revision)
	return yaml.NewEncoder(a.stdout).Encode(c.Config)
}

func (a *app) configApply(file string, baseRevision uint64) error {
	c, err := config.ReadFile(file)
	if err != nil {
		return err
	}
	if baseRevision == 0 {
		var current adminapi.Config
		if err := a.get("/admin/v1/config", &current); err != nil && !isNotFound(err) {
			return err
		}
		baseRevision = current.Revision
	}
	return a.sendChange(http.MethodPut, "/admin/v1/config", c, baseRevision)
}

// configAttempt prints the outcome of the change with the given attempt ID. The administration API calls each try to
// change the configuration an attempt; these have nothing to do with the attempts of a request at endpoints.
func (a *app) configAttempt(id string) error {
	var attempt adminapi.Attempt
	if err := a.get("/admin/v1/attempts/"+url.PathEscape(id), &attempt); err != nil {
		return err
	}
	return a.print(attempt, func(t *tableWriter) {
		t.row("ATTEMPT", "OUTCOME", "REVISION")
		t.row(attempt.AttemptID, attempt.Outcome, attempt.Revision)
	})
}

func (a *app) addAudit(k *kingpin.Application) {
	cmd := k.Command("audit", "Show the audit trail, newest first.")
	cmd.Action(func(*kingpin.ParseContext) error { return a.audit("") })
}

// audit prints the audit trail. A non-empty outcome selects the entries with this outcome.
func (a *app) audit(outcome string) error {
	var trail adminapi.Audit
	if err := a.get("/admin/v1/audit?outcome="+url.QueryEscape(outcome), &trail); err != nil {
		return err
	}
	return a.print(trail, func(t *tableWriter) {
		t.row("TIME", "OPERATOR", "SOURCE", "ACTION", "OUTCOME", "REVISION", "FROM", "TO")
		for _, e := range trail.Entries {
			t.row(e.Time.Format(time.RFC3339), e.Operator, e.Source, e.Action, e.Outcome, e.Revision, e.From, e.To)
		}
	})
}

func (a *app) addStatus(k *kingpin.Application) {
	cmd := k.Command("status", "Show daemons, their configuration revision, and queues by class.")
	cmd.Action(func(*kingpin.ParseContext) error {
		var s adminapi.Status
		if err := a.get("/admin/v1/status", &s); err != nil {
			return err
		}
		return a.print(s, func(t *tableWriter) { statusTable(t, s) })
	})
}

func statusTable(t *tableWriter, s adminapi.Status) {
	t.row("DAEMON", "ZONE", "STATE", "REVISION", "PRESET", "REQUESTS", "SHARDS", "ERROR")
	for _, d := range s.Daemons {
		t.row(d.ID, d.Zone, d.State, d.Revision, d.Preset, d.Requests, shardNames(d.Shards), d.Error)
	}
	t.row()
	t.row("SHARD", "CLASS", "WAITING", "RUNNING", "SHED")
	for _, d := range s.Daemons {
		for _, shard := range d.Shards {
			for _, c := range shard.Classes {
				t.row(shard.ID, c.Class, c.Waiting, c.Running, c.Shed)
			}
		}
	}
}

func shardNames(shards []adminapi.Shard) string {
	var ids []string
	for _, s := range shards {
		ids = append(ids, s.ID)
	}
	return strings.Join(ids, ",")
}

func (a *app) addEndpoints(k *kingpin.Application) {
	cmd := k.Command("endpoints", "List endpoints with their scheduler, state and load.")
	cmd.Action(func(*kingpin.ParseContext) error { return a.endpoints() })

	drain := k.Command("drain", "Stop new work to an endpoint; running requests finish.")
	id := drain.Arg("endpoint", "Id of the endpoint.").Required().String()
	undo := drain.Flag("undo", "Give the endpoint work again.").Bool()
	drain.Action(func(*kingpin.ParseContext) error {
		return a.sendChange(http.MethodPost, "/admin/v1/endpoints/"+url.PathEscape(*id)+"/drain", adminapi.DrainRequest{Drain: !*undo}, 0)
	})
}

func (a *app) endpoints() error {
	var s adminapi.Status
	if err := a.get("/admin/v1/status", &s); err != nil {
		return err
	}
	list := []adminapi.Endpoint{}
	for _, d := range s.Daemons {
		for _, shard := range d.Shards {
			list = append(list, shard.Endpoints...)
		}
	}
	return a.print(list, func(t *tableWriter) {
		t.row("ENDPOINT", "ZONE", "STATE", "RUNNING", "SLOTS", "SHARD", "SCHEDULER")
		for _, e := range list {
			t.row(e.ID, e.Zone, e.State, e.Running, e.Slots, e.Shard, e.Scheduler)
		}
	})
}

func (a *app) addSettle(k *kingpin.Application) {
	cmd := k.Command("settle", "Settle a non-idempotent request whose outcome is unknown.")
	req := adminapi.SettleRequest{}
	cmd.Arg("workspace", "Workspace of the caller.").Required().StringVar(&req.Workspace)
	cmd.Arg("route", "Path prefix of the route.").Required().StringVar(&req.Route)
	cmd.Arg("key", "Idempotency key of the request.").Required().StringVar(&req.IdempotencyKey)
	outcome := cmd.Flag("outcome", "What you found at the endpoint: ran or not-run.").Required().Enum("ran", "not-run")
	cmd.Action(func(*kingpin.ParseContext) error {
		req.Ran = *outcome == "ran"
		return a.settle(req)
	})
}

func (a *app) settle(req adminapi.SettleRequest) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	// The decision changes a ledger record, not the configuration, so it has no revision.
	if err := c.Send(a.ctx, http.MethodPost, "/admin/v1/ledger/settle", req, 0, nil); err != nil {
		return err
	}
	return a.print(req, func(t *tableWriter) { t.row("settled", req.Workspace, req.Route, req.IdempotencyKey) })
}

func isNotFound(err error) bool {
	apiErr, ok := err.(*adminapi.Error)
	return ok && apiErr.Code == adminapi.CodeNotFound
}
