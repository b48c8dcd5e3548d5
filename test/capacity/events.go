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

// inForce returns when a daemon logged a revision as in force.
func (d *daemon) inForce(revision uint64) (time.Time, bool) {
	file, err := os.Open(d.log)
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

// awaitRevision waits until all daemons have a revision in force and returns the time that each
// needed since began. The daemons' logs have the times, so that the question costs them nothing.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, began time.Time) ([]time.Duration, error) {
	deadline := time.Now().Add(startTime)
	var times []time.Duration
	for _, d := range f.daemons {
		for {
			if at, ok := d.inForce(revision); ok {
				times = append(times, at.Sub(began))
				break
			}
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("revision %d is not in force on %s after %v", revision, d.id, startTime)
			}
			if err := pause(ctx, pollInterval); err != nil {
				return nil, err
			}
		}
	}
	slices.Sort(times)
	return times, nil
}

// changePause lets the packets of one change end before the next.
const changePause = 2 * time.Second

// timeChanges makes changes and prints the time until each is in force.
func (f *fleet) timeChanges(ctx context.Context, n int) error {
	var last []time.Duration
	before, err := f.takeAll()
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
		last = append(last, times[len(times)-1])
		if err := pause(ctx, changePause); err != nil {
			return err
		}
	}
	slices.Sort(last)
	fmt.Printf("changes: time until in force everywhere: median %v, maximum %v\n", last[len(last)/2].Round(time.Millisecond), last[len(last)-1].Round(time.Millisecond))
	after, err := f.takeAll()
	if err != nil {
		return err
	}
	fmt.Printf("over the %d changes:\n", n)
	report(before, after, time.Since(began).Seconds())
	return nil
}

// change switches the preset or drains an endpoint, in turn on each daemon, and returns the revision.
func (f *fleet) change(ctx context.Context, i int) (uint64, error) {
	client := adminapi.Client{Base: "http://" + f.daemons[i%len(f.daemons)].admin}
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

// members asks a daemon for its view over the protocol between daemons.
func (d *daemon) members(ctx context.Context) ([]*peer.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var dialer net.Dialer
	tcp, err := dialer.DialContext(ctx, "tcp", d.peer)
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

// viewInterval is the time between two questions to a daemon for its view.
const viewInterval = 250 * time.Millisecond

// timeKill kills the last daemon and prints when the others have declared it dead.
func (f *fleet) timeKill(ctx context.Context) error {
	victim := f.daemons[len(f.daemons)-1]
	victim.kill()
	f.daemons = f.daemons[:len(f.daemons)-1]
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	times := make([]time.Duration, len(f.daemons))
	var wg sync.WaitGroup
	for i, d := range f.daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				if members, err := d.members(ctx); err == nil && isDead(members, victim.id) {
					times[i] = time.Since(began)
					return
				}
				_ = pause(ctx, viewInterval)
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

// weighStatus prints what one status call costs all daemons.
func (f *fleet) weighStatus(ctx context.Context) error {
	const calls = 10
	before, err := f.takeAll()
	if err != nil {
		return err
	}
	client := adminapi.Client{Base: "http://" + f.daemons[0].admin}
	began := time.Now()
	for range calls {
		var status adminapi.Status
		if err := client.Get(ctx, "/admin/v1/status", &status); err != nil {
			return err
		}
	}
	took := time.Since(began) / calls
	after, err := f.takeAll()
	if err != nil {
		return err
	}
	fmt.Printf("status: %v per call; totals over %d calls:\n", took.Round(time.Millisecond), calls)
	report(before, after, 1)
	return nil
}

// replacePause lets the exchanges after a replacement end.
const replacePause = 5 * time.Second

// weighReplace stops the last daemon gracefully, starts it again with empty memory and prints what
// this costs the others.
func (f *fleet) weighReplace(ctx context.Context) error {
	i := len(f.daemons) - 1
	old := f.daemons[i]
	f.daemons = f.daemons[:i]
	before, err := f.takeAll()
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
		if _, ok := f.daemons[i].inForce(1); ok {
			break
		}
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	ready := time.Since(began)
	if err := pause(ctx, replacePause); err != nil {
		return err
	}
	joined, err := f.daemons[i].take()
	if err != nil {
		return err
	}
	all := f.daemons
	f.daemons = all[:i]
	after, err := f.takeAll()
	f.daemons = all
	if err != nil {
		return err
	}
	fmt.Printf("replace: stopped after %v, configuration in force after %v, measured for %v\n", stopped.Round(time.Millisecond), ready.Round(time.Millisecond), time.Since(began).Round(time.Second))
	fmt.Println("totals of the other daemons:")
	report(before, after, 1)
	fmt.Println("totals of the new daemon:")
	report(make([]sample, 1), []sample{joined}, 1)
	return nil
}
