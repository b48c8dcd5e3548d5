package dispatch_test

import (
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pacedRate is the rate of BenchmarkPacedLatency in requests per second.
const pacedRate = 1000

// BenchmarkPacedLatency measures the latency of one-token streams that start at a fixed rate, independent of
// the completion of earlier ones, directly at the engine and through the dispatcher. The latency includes the
// delay of a late start. Run it with -benchtime 5000x.
func BenchmarkPacedLatency(b *testing.B) {
	h := newHarness(b, harnessOptions{})
	body := chat("hello length=1", true, "")
	for _, target := range []struct{ desc, url string }{{"direct", h.engines[0].URL()}, {"path", h.url}} {
		b.Run(target.desc, func(b *testing.B) {
			c := benchClient()
			var mu sync.Mutex
			times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var running sync.WaitGroup
			start := time.Now()
			for i := range b.N {
				due := start.Add(time.Duration(i) * time.Second / pacedRate)
				time.Sleep(time.Until(due))
				running.Go(func() {
					benchPost(b, c, target.url+"/v1/chat/completions", body)
					took := time.Since(due)
					mu.Lock()
					defer mu.Unlock()
					_ = times.RecordValue(took.Microseconds())
				})
			}
			running.Wait()
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
		})
	}
}
