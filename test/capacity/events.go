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

// timeChanges switches between two presets and prints the time until each switch is in force.
func (f *fleet) timeChanges(ctx context.Context, n int) error {
	var last []time.Duration
	before, err := f.takeAll()
	if err != nil {
		return err
	}
	began := time.Now()
	for i := range n {
		preset := []string{"peak", "ordinary"}[i%2]
		client := adminapi.Client{Base: "http://" + f.daemons[i%len(f.daemons)].admin}
		start := time.Now()
		var list adminapi.PresetList
		if err := client.Get(ctx, "/admin/v1/presets", &list); err != nil {
			return err
		}
		var change adminapi.Change
		req := adminapi.SwitchRequest{Preset: preset, PresetRevision: list.Presets[slices.IndexFunc(list.Presets, func(p config.Preset) bool { return p.Name == preset })].Revision}
		if err := client.Send(ctx, http.MethodPost, "/admin/v1/switch", req, 0, &change); err != nil {
			return err
		}
		times, err := f.awaitRevision(ctx, change.Revision, start)
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
