package kit

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	Unknown = 2
)

// Case is a running script.
type Case struct {
	Deployment
	Runs *Runs
	// Trouble is false for the run without the disruption.
	Trouble bool
	KV      *Store
	Plane   *Cloud
	Runners []*Runner
	// config is the operator's newest configuration.
	config map[string]any
}

// Main runs a script whose arguments are the repository and the folder of the case, and exits with its result.
func Main(run func(c *Case) (int, error)) {
	os.Exit(start(run))
}

func start(run func(c *Case) (int, error)) int {
	if len(os.Args) != 3 {
		fmt.Println("usage: case ROOT FOLDER")
		return Unknown
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return Unknown
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return Unknown
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the processes:", dir)
	}
	c := &Case{Runs: &Runs{}, Trouble: os.Getenv("TROUBLE") != "0"}
	c.Root, c.Record, c.Dir = os.Args[1], record, dir
	if c.Base, err = FreeBase(); err != nil {
		record.Say("script", "can't run: %v", err)
		return Unknown
	}
	c.Store = fmt.Sprintf("%s1:%d", c.Base, PortStore)
	if c.KV, err = NewStore(c.Store, record); err != nil {
		record.Say("script", "can't run: %v", err)
		return Unknown
	}
	defer c.StopAll()
	code, err := run(c)
	if err != nil {
		record.Say("script", "can't run: %v", err)
		return Unknown
	}
	return code
}

// StartCloud starts the platform's control plane.
func (c *Case) StartCloud() (err error) {
	c.Cloud = fmt.Sprintf("%s1:%d", c.Base, PortCloud)
	c.Plane, err = NewCloud(c.Cloud, c.Record)
	return err
}

// AddRunners starts n runners of a service, spread over the zones.
func (c *Case) AddRunners(service string, n int, zones []string, heartbeat, work time.Duration) error {
	for i := range n {
		k := len(c.Runners)
		r := &Runner{
			ID: fmt.Sprintf("i-%04x%04x", 0x7f3a+k, 0x91c2+7*k), Service: service, Address: fmt.Sprintf("%s%d:%d", c.Base, 100+k, 8080), Zone: zones[i%len(zones)], Work: work,
		}
		if err := StartRunner(r, c.KV, c.Runs, c.Record, heartbeat); err != nil {
			return err
		}
		c.Runners = append(c.Runners, r)
		// Runners do not write at the same moment.
		time.Sleep(heartbeat / time.Duration(4*n))
	}
	return nil
}

// Configure writes a configuration as the operator and returns the revision at which the store has confirmed it.
func (c *Case) Configure(config map[string]any) int64 {
	c.config = config
	revision := c.KV.Put("op/config", config)
	c.Record.Say("operator", "configuration version %v confirmed at revision %d", config["version"], revision)
	return revision
}

// Drill takes the store away and brings it back from a copy of the given age, counted from its return. What the operator and
// the runners wrote is written again at once.
func (c *Case) Drill(away, age time.Duration) {
	c.KV.GoAway()
	time.Sleep(away)
	before := c.KV.Revision()
	back := c.KV.Restore(age)
	c.Record.Say("store", "back after %s from a copy %s old: revision %d instead of %d", away, time.Since(back.Taken).Round(10*time.Millisecond), back.Revision, before)
	revision := c.KV.Put("op/config", c.config)
	c.Record.Say("operator", "writes version %v again, at revision %d", c.config["version"], revision)
	for _, r := range c.Runners {
		r.Beat()
	}
	c.Record.Add("runners", "have written their entries again, revision %d", c.KV.Revision())
}

// NeedFiles returns an error if the script, or a process of the system, may not open that many files.
func NeedFiles(n uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Max < n {
		return fmt.Errorf("the limit of open files is %d, and %d are needed", limit.Max, n)
	}
	return nil
}
