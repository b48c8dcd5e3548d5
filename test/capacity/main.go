// Command capacity measures what a daemon costs: it starts real daemons and stand-ins on loopback,
// lets them run for a window, quiet or under load, and prints bytes, processor time, memory and
// calls to the key-value service. docs/CAPACITY.md has the results and the commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// options are the flags of one measurement.
type options struct {
	binary     string
	daemons    int
	window     time.Duration
	settle     time.Duration
	engines    int
	shardSize  int
	workspaces int
	keys       bool
	tokenTime  time.Duration
	port       int
	load       loadOptions
	changes    int
	drains     bool
	replace    bool
	kill       bool
	status     bool
}

// maxDaemons keeps the processes below 12 GiB of memory.
const maxDaemons = 160

func main() {
	var o options
	flag.StringVar(&o.binary, "binary", "", "path of the chivewind binary")
	flag.IntVar(&o.daemons, "daemons", 8, "number of daemons")
	flag.DurationVar(&o.window, "window", 15*time.Second, "time of the measurement")
	flag.DurationVar(&o.settle, "settle", 10*time.Second, "time between the start and the measurement")
	flag.IntVar(&o.engines, "engines", 4, "number of stand-in engines")
	flag.IntVar(&o.shardSize, "shard-size", 0, "endpoints per shard; 0 is the default")
	flag.IntVar(&o.workspaces, "workspaces", 10, "number of workspaces in the configuration")
	flag.BoolVar(&o.keys, "keys", false, "give each workspace a key; not with load")
	flag.DurationVar(&o.tokenTime, "token-time", 2*time.Millisecond, "time per token of the engines")
	flag.IntVar(&o.port, "port", 30000, "first port")
	flag.Float64Var(&o.load.chats, "chats", 0, "chat completions a second")
	flag.IntVar(&o.load.tokens, "tokens", 20, "tokens of one chat completion")
	flag.IntVar(&o.load.streams, "streams", 0, "streams that stay open during the measurement")
	flag.Float64Var(&o.load.bookings, "bookings", 0, "non-idempotent requests a second")
	flag.IntVar(&o.changes, "changes", 0, "configuration changes, timed after the window")
	flag.BoolVar(&o.drains, "drains", false, "let the changes drain an endpoint instead of switching presets")
	flag.BoolVar(&o.replace, "replace", false, "replace one daemon after the window and weigh it")
	flag.BoolVar(&o.kill, "kill", false, "kill one daemon after the window and time its detection")
	flag.BoolVar(&o.status, "status", false, "time and weigh one status call after the window")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run starts the fleet, measures and ends every process that it started.
func run(ctx context.Context, o options) error {
	if o.binary == "" || o.daemons < 1 || o.daemons > maxDaemons {
		return fmt.Errorf("needs --binary and 1 to %d daemons", maxDaemons)
	}
	f, err := newFleet(o)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return err
	}
	l := newLoad(f, o.load)
	defer l.stop()
	l.start(ctx)
	if err := pause(ctx, o.settle); err != nil {
		return err
	}
	if err := f.window(ctx, o, l); err != nil {
		return err
	}
	l.stop()
	return f.events(ctx, o)
}

// events times what happens after the window.
func (f *fleet) events(ctx context.Context, o options) error {
	if o.changes > 0 {
		if err := f.timeChanges(ctx, o.changes); err != nil {
			return err
		}
	}
	if o.status {
		if err := f.weighStatus(ctx); err != nil {
			return err
		}
	}
	if o.replace {
		if err := f.weighReplace(ctx); err != nil {
			return err
		}
	}
	if o.kill {
		return f.timeKill(ctx)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
