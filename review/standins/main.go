// Command review-cases plays the scripts of the review: it starts the stand-ins of a store, of runners and of callers,
// and the daemons as separate processes, and checks a rule.
//
//	review-cases CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	unplayed  = 2
	timeLimit = 110 * time.Second
)

// play is one run of a case.
type play struct {
	rec     *record
	trouble bool
	store   *store
	fleet   *deployment
	runs    *runs
}

var cases = map[string]func(*play) (int, error){
	"reload-during-stop":     reloadDuringStop,
	"storm-of-large-configs": stormOfLargeConfigs,
	"large-bodies":           largeBodies,
	"refused-lookups":        refusedLookups,
	"early-answers":          earlyAnswers,
	"lost-removal":           lostRemoval,
}

func main() {
	// A caught signal has its default action in new processes. An ignored one, as under nohup, would be ignored there too.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		os.Exit(unplayed)
	}
	os.Exit(playCase(os.Args[1], os.Args[2]))
}

func playCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	p := &play{rec: rec, trouble: os.Getenv("TROUBLE") != "0", runs: &runs{byID: map[string][]run{}}}
	p.fleet = &deployment{dir: dir, binary: "target/chivewind", memoryMB: 284, rec: rec}
	time.AfterFunc(timeLimit, func() {
		rec.say("the case took longer than %s", timeLimit)
		p.fleet.stopAll()
		os.Exit(unplayed)
	})
	code, err := cases[name](p)
	p.fleet.stopAll()
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = unplayed
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	rec.say("result: %s", []string{"the rule held", "the rule was broken", "not played"}[code])
	return code
}

// route is one route of the configuration.
type route struct {
	Name        string `json:"name"`
	Hostname    string `json:"hostname"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"route_kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	SloMs       int    `json:"slo_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority *int     `json:"priority,omitempty"`
}

// config is the operator's configuration.
type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

const callerKey = "n2ctnfzs989anu6wsjnb"

// newConfig returns a configuration with one route of each plain kind to the service desk.
func newConfig(timeoutMs int) *config {
	at := func(prefix, kind string, attempts int) route {
		return route{Name: "r-" + kind, Hostname: "desk.example", Prefix: prefix, Kind: kind, TimeoutMs: timeoutMs, SloMs: 300, Service: "desk", MaxAttempts: attempts}
	}
	return &config{
		Version: 1, Routes: []route{at("/book/", "unsafe", 1), at("/look/", "safe", 2)},
		Services: []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []tenant{{Name: "hule930", APIKeys: []string{callerKey}}},
	}
}

func (c *config) encode() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return raw
}

// begin starts the store with a configuration and the runners, and then n daemons, and waits until they are ready.
// storeAddress may be nil.
func (p *play) begin(c *config, runners []*runner, n int, storeAddress func(int) string) error {
	p.store.put("op/config", c.encode())
	for _, r := range runners {
		p.store.put("servers/"+r.id, r.entry("ready"))
	}
	if storeAddress == nil {
		storeAddress = func(int) string { return p.store.address() }
	}
	if err := p.fleet.plan(n, storeAddress); err != nil {
		return err
	}
	for _, x := range p.fleet.daemons {
		if err := p.fleet.start(x); err != nil {
			return err
		}
	}
	for _, x := range p.fleet.daemons {
		if err := x.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
