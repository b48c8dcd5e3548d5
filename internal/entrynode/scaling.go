package entrynode

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/capacity"
	"github.com/chivewind/chivewind/internal/duty"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/settings"
)

const (
	// scalingInterval is the time between two decisions on the number of endpoints. It adds to the boot time of endpoints
	// for a jump of the load.
	scalingInterval = time.Second
	// planRounds is the largest number of plans in one decision. After a refused order, the next plan uses other zones or
	// kinds.
	planRounds = 3
)

// scalingTask is the duty.Task that sets the numbers of endpoints.
type scalingTask struct {
	plane platform.ControlPlane
	// input returns what is known about the pools whose number of endpoints can be set.
	input   func(now time.Time) []capacity.Input
	options capacity.Options
	log     hclog.Logger
	metrics metrics.Registry
	// planners holds the planners of this term by pool.
	planners map[string]*capacity.Planner
}

var _ duty.Task = (*scalingTask)(nil)

// newScalingTask returns the task for the given settings.
func newScalingTask(plane platform.ControlPlane, input func(time.Time) []capacity.Input, c settings.Capacity, log hclog.Logger, registry metrics.Registry) *scalingTask {
	return &scalingTask{
		plane: plane, input: input, log: log, metrics: registry,
		options: capacity.Options{
			Target: c.Target, MaxUtilization: c.MaxUtilization, BurstFactor: c.BurstFactor, MinOnDemand: c.MinOnDemand, Step: c.Step,
			PrefillSpeed: c.PrefillSpeed,
		},
	}
}

// Duty implements duty.Task.
func (t *scalingTask) Duty() platform.Duty { return platform.DutyScaling }

// Interval implements duty.Task.
func (t *scalingTask) Interval() time.Duration { return scalingInterval }

// Step implements duty.Task. A new term begins with new planners: another daemon may have set other numbers since the last
// term. Orders that fail are not kept; the next step plans again.
func (t *scalingTask) Step(ctx context.Context, now time.Time, h duty.Holder, first bool) error {
	if first || t.planners == nil {
		t.planners = map[string]*capacity.Planner{}
	}
	for _, in := range t.input(now) {
		p := t.planners[in.Pool.Name]
		if p == nil {
			p = capacity.New(t.options)
			t.planners[in.Pool.Name] = p
		}
		err := t.scale(ctx, now, h, p, in)
		t.record(p, in)
		if err != nil {
			return err
		}
	}
	return nil
}

// scale makes the orders for one pool.
func (t *scalingTask) scale(ctx context.Context, now time.Time, h duty.Holder, p *capacity.Planner, in capacity.Input) error {
	for range planRounds {
		orders := p.Plan(now, in)
		t.logDecision(p, in, orders)
		refused := false
		for _, o := range orders {
			err := h.Call(ctx, func(ctx context.Context, holder platform.DutyHolder) error { return t.plane.Scale(ctx, holder, o) })
			p.Result(now, o, err)
			t.countOrder(o, err)
			refused = refused || errors.Is(err, platform.ErrNoEndpoints)
			// After other failures, the other orders would probably fail as well, each after a time limit.
			if err != nil && !errors.Is(err, platform.ErrNoEndpoints) {
				return err
			}
		}
		if !refused {
			return nil
		}
	}
	return nil
}

// logDecision logs a decision that leads to orders, with what it is based on.
func (t *scalingTask) logDecision(p *capacity.Planner, in capacity.Input, orders []platform.ScaleOrder) {
	if len(orders) == 0 {
		return
	}
	d := p.Decision()
	fields := []any{
		"pool", in.Pool.Name, "reason", string(d.Reason), "orders", orders, "goal", d.Goal, "need", d.Need.Engines,
		"on_demand", d.Need.OnDemand, "survivors", d.Need.Survivors, "work_per_s", int(d.Need.Work), "speed", int(d.Need.Speed),
		"utilization", d.Need.Utilization, "lost", d.Lost, "running", d.Running, "desired", d.Desired, "streams", in.Streams,
		"pending_prefill", in.PendingPrefill, "refused", in.Refused, "age_ms", in.Age.Milliseconds(),
	}
	for _, c := range in.Classes {
		fields = append(fields, "class_"+c.Name, []int{int(c.Requests), int(c.Prefill), int(c.Decode)})
	}
	t.log.Info("number of endpoints", fields...)
}

// orderResult returns the value of the label result for the outcome of an order.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, platform.ErrNoEndpoints):
		return "none_available"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, duty.ErrNotHolder):
		return "not_holder"
	}
	return "failed"
}

func (t *scalingTask) countOrder(o platform.ScaleOrder, err error) {
	result := orderResult(err)
	metrics.GetOrRegisterCounter(promtext.Name("chivewind_entry_scale_orders_total", "pool", o.Pool, "result", result), t.metrics).Inc(1)
	if err != nil {
		t.log.Info("order for endpoints failed", "pool", o.Pool, "zone", o.Zone, "spot", o.Spot, "desired", o.Desired, "result", result, "error", err)
	}
}

// record sets the gauges that describe a pool.
func (t *scalingTask) record(p *capacity.Planner, in capacity.Input) {
	d := p.Decision()
	for name, counts := range map[string][]capacity.Count{
		"chivewind_entry_endpoints_desired": d.Desired, "chivewind_entry_endpoints_running": d.Running,
	} {
		for _, c := range counts {
			labels := []string{"pool", in.Pool.Name, "zone", c.Zone, "spot", strconv.FormatBool(c.Spot)}
			metrics.GetOrRegisterGauge(promtext.Name(name, labels...), t.metrics).Update(int64(c.Count))
		}
	}
	for name, value := range map[string]int{
		"chivewind_entry_endpoints_goal": d.Goal, "chivewind_entry_endpoints_needed": d.Need.Engines, "chivewind_entry_endpoints_lost": d.Lost,
	} {
		metrics.GetOrRegisterGauge(promtext.Name(name, "pool", in.Pool.Name), t.metrics).Update(int64(value))
	}
	if d.Reason != "" {
		reason := promtext.Name("chivewind_entry_scale_decisions_total", "pool", in.Pool.Name, "reason", string(d.Reason))
		metrics.GetOrRegisterCounter(reason, t.metrics).Inc(1)
	}
}
