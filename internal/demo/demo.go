// Package demo runs a complete system in one process under load for a short time: stand-ins of the platform
// and of the endpoints, three daemons, and callers of three classes. During the load, the rate of one class
// rises for a while and an engine crashes. The report is computed from what the callers and the stand-ins
// recorded, not from the daemons' metrics.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
)

// MinDuration is the shortest duration of the load that leaves time for the burst and the crash.
const MinDuration = time.Second

// The times of the burst and of the crash, as shares of the load's duration.
const (
	burstStart    = 0.3
	burstEnd      = 0.5
	crashStart    = 0.45
	crashDuration = 0.15
)

// answerTimeout bounds the wait for the last answers after the load. A request without an outcome by then
// counts as lost.
const answerTimeout = 20 * time.Second

// Options are the options of a run.
type Options struct {
	// Seed is the seed of the callers' requests and of their arrival times.
	Seed uint64
	// Duration is the duration of the load, without the start and stop of the daemons. It must be at least
	// MinDuration.
	Duration time.Duration
	// Log receives the daemons' log lines; nil discards them.
	Log hclog.Logger
	// Progress is called with a description at the start of each stage; it may be nil.
	Progress func(stage string)
}

// Run starts the system, runs the load, stops the system, and reports the results. Violations of the
// router's invariants are in the report and are not errors.
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
	o.Progress(fmt.Sprintf("starting a key-value service, a VM list, %d engines, %d plain services and %d daemons", engineCount, plainCount, daemonCount))
	f, err := startFleet(ctx, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer f.stopStandins()
	l := newLoadGenerator(f, o)
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

// run generates the load with the burst and the crash, and waits for the last answers. The load consists of chats
// and of bookings, which are non-idempotent requests to a plain service.
func (l *loadGenerator) run(ctx context.Context, o Options) error {
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
		{at(burstStart), "burst of notes begins", func() { l.burstActive.Store(true) }},
		{at(crashStart), fmt.Sprintf("%s crashes for %s", l.fleet.config.Endpoints[0].ID, at(crashDuration).Round(time.Millisecond)), func() { l.fleet.engines[0].Crash(at(crashDuration)) }},
		{at(burstEnd), "burst ends", func() { l.burstActive.Store(false) }},
		{o.Duration, "waiting for the last answers", cancel},
	} {
		select {
		case <-time.After(event.at - time.Since(l.startedAt)):
		case <-ctx.Done():
			return ctx.Err()
		}
		o.Progress(event.stage)
		event.do()
	}
	l.wait(answerTimeout)
	return nil
}
