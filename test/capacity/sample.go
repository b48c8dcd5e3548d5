package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// sample has the metrics and the resource use of one daemon at one time.
type sample struct {
	// metrics has the daemon's metrics without labels, by name.
	metrics map[string]float64
	// cpu is the processor time since the start; resident and anonymous are memory in bytes.
	cpu                 time.Duration
	resident, anonymous float64
}

// ticksPerSecond is the resolution of processor times in /proc, which is 100 on all Linux systems.
const ticksPerSecond = 100

// takeSample samples a daemon. It reads processor time and memory first, because serving the metrics uses
// processor time.
func (d *daemon) takeSample() (sample, error) {
	s, err := sampleProcess(d.cmd.Process.Pid)
	if err != nil {
		return s, err
	}
	s.metrics, err = readMetrics("http://" + d.adminAddr + "/metrics")
	return s, err
}

// sampleProcess reads the processor time and memory of a process from /proc.
func sampleProcess(pid int) (sample, error) {
	var s sample
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, err
	}
	// The command name can contain spaces, so parse the fields after its closing parenthesis; utime
	// and stime are the 12th and 13th of them.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return s, err
		}
		s.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return s, err
	}
	s.resident = statusBytes(status, "VmRSS:")
	s.anonymous = statusBytes(status, "RssAnon:")
	return s, nil
}

// statusBytes returns a memory field of /proc/PID/status, converted from KiB to bytes, or 0 if the field is
// missing.
func statusBytes(status []byte, name string) float64 {
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return n * 1024
		}
	}
	return 0
}

// readMetrics returns the metrics without labels from a Prometheus endpoint.
func readMetrics(url string) (map[string]float64, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || name == "#" || strings.Contains(name, "{") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}

// kvCounters returns the number of calls to the key-value stand-in by kind.
func (f *fleet) kvCounters() (map[string]float64, error) {
	resp, err := http.Get("http://" + f.kvAddr + "/admin/counters")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

func (f *fleet) takeSamples() ([]sample, error) {
	var samples []sample
	for _, d := range f.daemons {
		s, err := d.takeSample()
		if err != nil {
			return nil, err
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// measureWindow measures for the duration of the window and prints the result.
func (f *fleet) measureWindow(ctx context.Context, o options, l *load) error {
	kvBefore, err := f.kvCounters()
	if err != nil {
		return err
	}
	before, err := f.takeSamples()
	if err != nil {
		return err
	}
	began := time.Now()
	countsBefore, durationsBefore := l.totals()
	if err := sleep(ctx, o.window); err != nil {
		return err
	}
	after, err := f.takeSamples()
	if err != nil {
		return err
	}
	kvAfter, err := f.kvCounters()
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	fmt.Printf("daemons %d, engines %d, workspaces %d, load %+v, window %.1f s\n", o.daemons, o.engines, o.workspaces, o.load, seconds)
	printUsage(before, after, seconds)
	for _, kind := range slices.Sorted(maps.Keys(kvAfter)) {
		fmt.Printf("key-value calls, fleet: %-12s %8.2f /s\n", kind, (kvAfter[kind]-kvBefore[kind])/seconds)
	}
	countsAfter, durationsAfter := l.totals()
	for _, kind := range slices.Sorted(maps.Keys(countsAfter)) {
		n := countsAfter[kind] - countsBefore[kind]
		fmt.Printf("callers: %-24s %8.2f /s, mean time %v\n", kind, float64(n)/seconds, ((durationsAfter[kind] - durationsBefore[kind]) / time.Duration(max(1, n))).Round(time.Millisecond))
	}
	return nil
}

// printUsage prints mean, median and maximum over the daemons, with counters as rates over the given
// seconds; with 1 second, they are totals. Rows whose values are all zero are left out.
func printUsage(before, after []sample, seconds float64) {
	row := func(name, unit string, value func(i int) float64) {
		values := make([]float64, len(after))
		sum := 0.0
		for i := range after {
			values[i] = value(i)
			sum += values[i]
		}
		if sum == 0 {
			return
		}
		slices.Sort(values)
		fmt.Printf("%-48s mean %10.3f median %10.3f max %10.3f %s\n", name, sum/float64(len(values)), values[len(values)/2], values[len(values)-1], unit)
	}
	const megabyte = 1e6
	row("processor time", "% of a core", func(i int) float64 { return 100 * (after[i].cpu - before[i].cpu).Seconds() / seconds })
	row("resident memory", "MB", func(i int) float64 { return after[i].resident / megabyte })
	row("anonymous memory", "MB", func(i int) float64 { return after[i].anonymous / megabyte })
	row("heap", "MB", func(i int) float64 { return after[i].metrics["chivewind_process_heap_bytes"] / megabyte })
	row("goroutines", "", func(i int) float64 { return after[i].metrics["chivewind_process_goroutines"] })
	row("requests in progress", "", func(i int) float64 { return after[i].metrics["chivewind_requests_in_progress"] })
	names := map[string]bool{}
	for _, s := range after {
		for name := range s.metrics {
			names[name] = names[name] || strings.HasSuffix(name, "_total")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if names[name] {
			row(strings.TrimPrefix(name, "chivewind_"), "/s", func(i int) float64 {
				return (after[i].metrics[name] - before[i].metrics[name]) / seconds
			})
		}
	}
}
