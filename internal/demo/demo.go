// Package demo runs a whole system in one process for a short time: stand-ins of the platform and of
// endpoints, three daemons, and callers of three classes, with a burst of one class and a crash of an
// engine. The figures come from the callers and the stand-ins, not from the daemons.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
)

// MinDuration is the shortest time of load that has room for the burst and the crash.
const MinDuration = time.Second

// The parts of the load's time, as shares of it.
const (
	burstFrom = 0.3
	burstTo   = 0.5
	crashAt   = 0.45
	crashFor  = 0.15
)

// drainTime bounds the wait for callers after the load. A request that has no end by then is lost.
const drainTime = 20 * time.Second

// Options configure a run.
type Options struct {
	// Seed determines the callers' requests and their intended times.
	Seed uint64
	// Duration is the time of load, without start and stop.
	Duration time.Duration
	// Log receives the daemons' log lines.
	Log hclog.Logger
	// Progress is called at each stage; it may be nil.
	Progress func(stage string)
}

// Run runs the demonstration.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Duration < MinDuration {
		return Report{}, fmt.Errorf("duration %s is too short; at least %s is needed", o.Duration, MinDuration)
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	o.Progress(fmt.Sprintf("starting a key-value service, a VM list, %d engines, %d plain services and %d daemons", engines, plains, daemons))
	f, err := startFleet(ctx, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer f.closeStandins()
	l := newLoad(f, o)
	err = l.run(ctx, o)
	o.Progress("stopping the daemons")
	if stopErr := f.stopDaemons(); err == nil {
		err = stopErr
	}
	if err != nil {
		return Report{}, err
	}
	return l.report(o), nil
}

// run sends the load, with the burst and the crash, and waits for the last answers.
func (l *load) run(ctx context.Context, o Options) error {
	at := func(share float64) time.Duration { return time.Duration(share * float64(o.Duration)) }
	o.Progress(fmt.Sprintf("load for %s: classes quick, notes and long, and bookings", o.Duration))
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.start(loadCtx)
	for _, event := range []struct {
		at    time.Duration
		stage string
		do    func()
	}{
		{at(burstFrom), "burst of notes begins", func() { l.burst.Store(true) }},
		{at(crashAt), fmt.Sprintf("%s crashes for %s", l.fleet.config.Endpoints[0].ID, at(crashFor).Round(time.Millisecond)), func() { l.fleet.engines[0].Crash(at(crashFor)) }},
		{at(burstTo), "burst ends", func() { l.burst.Store(false) }},
		{o.Duration, "waiting for the last answers", cancel},
	} {
		select {
		case <-time.After(event.at - time.Since(l.began)):
		case <-ctx.Done():
			return ctx.Err()
		}
		o.Progress(event.stage)
		event.do()
	}
	l.wait(drainTime)
	return nil
}
