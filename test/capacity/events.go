package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/chivewind/chivewind/adminapi"
	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/peer"
)

// activatedAt returns the time at which the daemon logged that the revision, or a later one, is in
// force; false if it has not.
func (d *daemon) activatedAt(revision uint64) (time.Time, bool) {
	file, err := os.Open(d.logPath)
	if err != nil {
		return time.Time{}, false
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Time     time.Time `json:"@timestamp"`
			Message  string    `json:"@message"`
			Revision uint64    `json:"revision"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "configuration in force" && line.Revision >= revision {
			return line.Time, true
		}
	}
	return time.Time{}, false
}

// awaitRevision waits until a revision is in force on all daemons and returns the times that they
// needed since began, in ascending order. It takes the times from the logs, because requests to the
// daemons would add to the measured cost.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, began time.Time) ([]time.Duration, error) {
	deadline := time.Now().Add(readyTimeout)
	var times []time.Duration
	for _, d := range f.daemons {
		for {
			if at, ok := d.activatedAt(revision); ok {
				times = append(times, at.Sub(began))
				break
			}
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("revision %d is not in force on %s after %v", revision, d.id, readyTimeout)
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(times)
	return times, nil
}

// changeInterval is the time between two changes, in which the traffic of the first one ends.
const changeInterval = 2 * time.Second

// measureChanges makes n configuration changes and prints the time until each is in force, and the
// cost of all of them.
func (f *fleet) measureChanges(ctx context.Context, n int) error {
	var slowest []time.Duration
	before, err := f.takeSamples()
	if err != nil {
		return err
	}
	began := time.Now()
	for i := range n {
		start := time.Now()
		revision, err := f.change(ctx, i)
		if err != nil {
			return err
		}
		times, err := f.awaitRevision(ctx, revision, start)
		if err != nil {
			return err
		}
		fmt.Printf("change %d: in force on half %v, on all %v\n", i+1, times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
		slowest = append(slowest, times[len(times)-1])
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	slices.Sort(slowest)
	fmt.Printf("changes: time until in force everywhere: median %v, maximum %v\n", slowest[len(slowest)/2].Round(time.Millisecond), slowest[len(slowest)-1].Round(time.Millisecond))
	after, err := f.takeSamples()
	if err != nil {
		return err
	}
	fmt.Printf("over the %d changes:\n", n)
	printUsage(before, after, time.Since(began).Seconds())
	return nil
}

// change switches the preset, or starts or ends the drain of an endpoint, through one of the daemons,
// round robin, and returns the revision.
func (f *fleet) change(ctx context.Context, i int) (uint64, error) {
	client := adminapi.Client{Base: "http://" + f.daemons[i%len(f.daemons)].adminAddr}
	var change adminapi.Change
	if f.o.drains {
		err := client.Send(ctx, http.MethodPost, "/admin/v1/endpoints/engine-000/drain", adminapi.DrainRequest{Drain: i%2 == 0}, 0, &change)
		return change.Revision, err
	}
	var list adminapi.PresetList
	if err := client.Get(ctx, "/admin/v1/presets", &list); err != nil {
		return 0, err
	}
	name := []string{"peak", "ordinary"}[i%2]
	k := slices.IndexFunc(list.Presets, func(p config.Preset) bool { return p.Name == name })
	req := adminapi.SwitchRequest{Preset: name, PresetRevision: list.Presets[k].Revision}
	err := client.Send(ctx, http.MethodPost, "/admin/v1/switch", req, 0, &change)
	return change.Revision, err
}

// members returns the daemon's member list, which it requests over the peer protocol.
func (d *daemon) members(ctx context.Context) ([]*peer.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var dialer net.Dialer
	tcp, err := dialer.DialContext(ctx, "tcp", d.peerAddr)
	if err != nil {
		return nil, err
	}
	conn := drpcconn.New(tcp)
	defer conn.Close()
	reply, err := peer.NewDRPCPeerClient(conn).Sync(ctx, &peer.SyncRequest{From: "capacity"})
	if err != nil {
		return nil, err
	}
	return reply.Members, nil
}

// membersPollInterval is the time between two requests to a daemon for its member list.
const membersPollInterval = 250 * time.Millisecond

// measureKill kills the last daemon and prints the time until the others have declared it dead.
func (f *fleet) measureKill(ctx context.Context) error {
	killed := f.daemons[len(f.daemons)-1]
	killed.kill()
	f.daemons = f.daemons[:len(f.daemons)-1]
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	times := make([]time.Duration, len(f.daemons))
	var wg sync.WaitGroup
	for i, d := range f.daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				if members, err := d.members(ctx); err == nil && isDead(members, killed.id) {
					times[i] = time.Since(began)
					return
				}
				_ = sleep(ctx, membersPollInterval)
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	slices.Sort(times)
	fmt.Printf("kill: known on the first %v, half %v, all %v\n", times[0].Round(time.Millisecond), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

func isDead(members []*peer.Member, id string) bool {
	for _, m := range members {
		if m.Id == id {
			return m.State == peer.MemberState_MEMBER_STATE_DEAD
		}
	}
	return false
}

// measureStatus prints the duration of a status call and its cost on all daemons.
func (f *fleet) measureStatus(ctx context.Context) error {
	const calls = 10
	before, err := f.takeSamples()
	if err != nil {
		return err
	}
	client := adminapi.Client{Base: "http://" + f.daemons[0].adminAddr}
	began := time.Now()
	for range calls {
		var status adminapi.Status
		if err := client.Get(ctx, "/admin/v1/status", &status); err != nil {
			return err
		}
	}
	took := time.Since(began) / calls
	after, err := f.takeSamples()
	if err != nil {
		return err
	}
	fmt.Printf("status: %v per call; totals over %d calls:\n", took.Round(time.Millisecond), calls)
	printUsage(before, after, 1)
	return nil
}

// replaceSettleTime is the time after a replacement in which the daemons finish synchronizing.
const replaceSettleTime = 5 * time.Second

// measureReplace stops the last daemon gracefully, starts it again without its former state and prints
// the cost on the other daemons and on the new one.
func (f *fleet) measureReplace(ctx context.Context) error {
	i := len(f.daemons) - 1
	old := f.daemons[i]
	f.daemons = f.daemons[:i]
	before, err := f.takeSamples()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := old.cmd.Wait(); err != nil {
		return err
	}
	old.cmd = nil
	stopped := time.Since(began)
	if err := f.startDaemon(i); err != nil {
		return err
	}
	for {
		if _, ok := f.daemons[i].activatedAt(1); ok {
			break
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	ready := time.Since(began)
	if err := sleep(ctx, replaceSettleTime); err != nil {
		return err
	}
	newSample, err := f.daemons[i].takeSample()
	if err != nil {
		return err
	}
	all := f.daemons
	f.daemons = all[:i]
	after, err := f.takeSamples()
	f.daemons = all
	if err != nil {
		return err
	}
	fmt.Printf("replace: stopped after %v, configuration in force after %v, measured for %v\n", stopped.Round(time.Millisecond), ready.Round(time.Millisecond), time.Since(began).Round(time.Second))
	fmt.Println("totals of the other daemons:")
	printUsage(before, after, 1)
	fmt.Println("totals of the new daemon:")
	printUsage(make([]sample, 1), []sample{newSample}, 1)
	return nil
}
