package dispatch_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
)

// cpuTime returns the CPU time of the process, which includes the fake endpoints and the callers.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

func benchPost(b *testing.B, c *http.Client, url, body string) int64 {
	resp, err := c.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", resp.StatusCode, err)
	}
	return n
}

// BenchmarkLatency measures one-token streams requested directly from the engine and through the dispatcher.
// The difference is the added latency.
func BenchmarkLatency(b *testing.B) {
	h := newHarness(b, harnessOptions{})
	body := chat("hello length=1", true, "")
	for _, target := range []struct{ desc, url string }{{"direct", h.engines[0].URL()}, {"path", h.url}} {
		b.Run(target.desc, func(b *testing.B) {
			c := benchClient()
			for b.Loop() {
				benchPost(b, c, target.url+"/v1/chat/completions", body)
			}
		})
	}
}

// BenchmarkPlain measures idempotent calls to a plain service by 16 concurrent callers.
func BenchmarkPlain(b *testing.B) {
	h := newHarness(b, harnessOptions{})
	for _, target := range []struct{ desc, url string }{{"direct", h.services[0].URL()}, {"path", h.url}} {
		b.Run(target.desc, func(b *testing.B) {
			c := benchClient()
			before := cpuTime(b)
			b.SetParallelism(max(16/runtime.GOMAXPROCS(0), 1))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := c.Get(target.url + "/services/bookings/7")
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64(b.N)/(cpuTime(b)-before).Seconds(), "calls/s/core")
		})
	}
}

// BenchmarkTokens measures the relayed tokens per second of CPU time for 32 concurrent streams. The engine
// sends all tokens at once (burst) or flushes each token separately (paced).
func BenchmarkTokens(b *testing.B) {
	const length = 1000
	for _, engine := range []struct {
		desc string
		o    enginestandin.Options
	}{{"burst", enginestandin.Options{}}, {"paced", enginestandin.Options{TokenTime: 100 * time.Microsecond}}} {
		h := newHarness(b, harnessOptions{engine: engine.o})
		body := chat("hello length="+strconv.Itoa(length), true, "")
		for _, target := range []struct{ desc, url string }{{"direct", h.engines[0].URL()}, {"path", h.url}} {
			b.Run(engine.desc+"/"+target.desc, func(b *testing.B) {
				c := benchClient()
				before := cpuTime(b)
				b.SetParallelism(max(32/runtime.GOMAXPROCS(0), 1))
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						benchPost(b, c, target.url+"/v1/chat/completions", body)
					}
				})
				spent := cpuTime(b) - before
				b.ReportMetric(float64(b.N)*length/b.Elapsed().Seconds(), "tokens/s")
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N)/length, "cpu-ns/token")
			})
		}
	}
}
