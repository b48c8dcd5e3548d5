// Command capacity measures the resources that a daemon uses. It starts daemons on loopback, with
// stand-ins for the services around them, runs them idle or under load for a measurement window, and
// prints network bytes, processor time, memory and calls to the key-value service.
// docs/CAPACITY.md has the results and the commands.
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
	// keys gives each workspace an API key.
	keys      bool
	tokenTime time.Duration
	port      int
	load      loadOptions
	changes   int
	drains    bool
	replace   bool
	kill      bool
	status    bool
}

// maxDaemons keeps the memory of all processes below 12 GiB.
const maxDaemons = 160

func main() {
	var o options
	flag.StringVar(&o.binary, "binary", "", "path of the chivewind binary")
	flag.IntVar(&o.daemons, "daemons", 8, "number of daemons")
	flag.DurationVar(&o.window, "window", 15*time.Second, "duration of the measurement")
	flag.DurationVar(&o.settle, "settle", 10*time.Second, "time between the start and the measurement")
	flag.IntVar(&o.engines, "engines", 4, "number of stand-in engines")
	flag.IntVar(&o.shardSize, "shard-size", 0, "endpoints per shard; 0 is the default")
	flag.IntVar(&o.workspaces, "workspaces", 10, "number of workspaces in the configuration")
	flag.BoolVar(&o.keys, "keys", false, "give each workspace an API key; the generated load sends none")
	flag.DurationVar(&o.tokenTime, "token-time", 2*time.Millisecond, "time per token of the engines")
	flag.IntVar(&o.port, "port", 30000, "first of the ports to use")
	flag.Float64Var(&o.load.chats, "chats", 0, "chat completions a second")
	flag.IntVar(&o.load.tokens, "tokens", 20, "tokens of one chat completion")
	flag.IntVar(&o.load.streams, "streams", 0, "number of streams kept open during the measurement")
	flag.Float64Var(&o.load.bookings, "bookings", 0, "non-idempotent requests a second")
	flag.IntVar(&o.changes, "changes", 0, "number of configuration changes to time after the window")
	flag.BoolVar(&o.drains, "drains", false, "let the changes drain an endpoint instead of switching presets")
	flag.BoolVar(&o.replace, "replace", false, "replace one daemon after the window and measure the cost")
	flag.BoolVar(&o.kill, "kill", false, "kill one daemon after the window and measure the time to its detection")
	flag.BoolVar(&o.status, "status", false, "measure the duration and cost of a status call after the window")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run starts the fleet, takes the measurements and stops all processes that it started.
func run(ctx context.Context, o options) error {
	if o.binary == "" || o.daemons < 1 || o.daemons > maxDaemons {
		return fmt.Errorf("--binary is required, and --daemons must be between 1 and %d", maxDaemons)
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
	if err := sleep(ctx, o.settle); err != nil {
		return err
	}
	if err := f.measureWindow(ctx, o, l); err != nil {
		return err
	}
	l.stop()
	return f.measureEvents(ctx, o)
}

// measureEvents makes the measurements that follow the window, as selected by the options.
func (f *fleet) measureEvents(ctx context.Context, o options) error {
	if o.changes > 0 {
		if err := f.measureChanges(ctx, o.changes); err != nil {
			return err
		}
	}
	if o.status {
		if err := f.measureStatus(ctx); err != nil {
			return err
		}
	}
	if o.replace {
		if err := f.measureReplace(ctx); err != nil {
			return err
		}
	}
	if o.kill {
		return f.measureKill(ctx)
	}
	return nil
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
