// Command rig runs the scripts of this review: it starts the daemons of the deploy file as processes and stands in for
// the store, the runners and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// minFiles is the number of descriptors that the crowds need.
const minFiles = 6000

// caseFunc runs a case. trouble says whether the disruption is made.
type caseFunc func(r *Rig) (broken bool, err error)

var cases = map[string]caseFunc{}

// Rig holds what all cases use.
type Rig struct {
	Trouble bool
	Record  *Record
	Dir     string
	Root    string
	Daemons []*Daemon
	Store   *Store
	IP      string

	mu sync.Mutex
	// daemons are those that killDaemons ends.
	daemons []*Daemon
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minFiles {
		fmt.Fprintf(os.Stderr, "%d descriptors are too few: %v\n", limit.Cur, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	if _, err := os.Stat(filepath.Join(root, "target", "chivewind")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Record: record, Dir: dir, Root: root, IP: fmt.Sprintf("127.42.%d.1", os.Getpid()%200)}
	record.Addf("case %s, disruption %v", name, r.Trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		results <- result{broken, err}
	}()
	var broken bool
	select {
	case end := <-results:
		broken, err = end.broken, end.err
	case s := <-stopped:
		err = fmt.Errorf("stopped by %v", s)
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %s", maxTime)
	}
	r.killDaemons()
	if r.Store != nil {
		r.Store.Close()
	}
	switch {
	case err != nil:
		record.Addf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		record.Addf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	record.Addf("the rule held")
	fmt.Println("the rule held")
	return 0
}

// killDaemons ends the processes that the case has started, also one that is started meanwhile.
func (r *Rig) killDaemons() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.daemons {
		d.End()
	}
}

// StartStore starts the store.
func (r *Rig) StartStore() error {
	var err error
	r.Store, err = NewStore(r.IP)
	return err
}

// StartDaemons starts n daemons.
func (r *Rig) StartDaemons(n int, f Fleet) error {
	f.Root, f.Dir, f.Store, f.Record = r.Root, r.Dir, r.Store.Address, r.Record
	all, err := f.New(n)
	if err != nil {
		return err
	}
	r.Daemons = all
	r.mu.Lock()
	r.daemons = all
	r.mu.Unlock()
	for _, d := range all {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// settleTime is the time after the start of the daemons after which they know each other and all runners.
const settleTime = 4 * time.Second

// WaitReady waits until all daemons are ready and have had time to find each other and the runners.
func (r *Rig) WaitReady() error {
	for _, d := range r.Daemons {
		if err := d.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}
