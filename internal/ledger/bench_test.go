package ledger

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkPartition measures the store transactions, the store reads and the latency of ACTION_BEGIN on
// one partition, at several offered rates per second and a store latency of 3 ms. Rate 0 runs a closed
// loop of 500 concurrent callers.
func BenchmarkPartition(b *testing.B) {
	for _, rate := range []int{5, 13, 50, 200, 350, 0} {
		b.Run(fmt.Sprintf("offered=%d", rate), func(b *testing.B) { benchmarkPartition(b, rate) })
	}
}

func benchmarkPartition(b *testing.B, rate int) {
	f := newFleet(b.Context(), "a")
	d := f.daemons[0]
	defer d.stop()
	d.kv.SetDelay(3 * time.Millisecond)
	key := func(i int) []byte {
		k := Key("w", "/r", fmt.Sprint(b.N, i))
		k[0] = 0 // All in one partition.
		return k
	}
	for {
		if got, _ := d.do(b.Context(), actBegin, key(-1), "r", "body"); got == begun {
			break
		}
	}
	callers, pause := make(chan struct{}, 500), time.Duration(0)
	if rate > 0 {
		pause = time.Second / time.Duration(rate)
	}
	latency := make([]time.Duration, b.N)
	var running sync.WaitGroup
	before, start := d.kv.Counters(), time.Now()
	b.ResetTimer()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * pause)))
		callers <- struct{}{}
		running.Go(func() {
			begin := time.Now()
			if got, _ := d.do(b.Context(), actBegin, key(i), "r", "body"); got != begun {
				b.Errorf("begin: %s", got)
			}
			latency[i] = time.Since(begin)
			<-callers
		})
	}
	running.Wait()
	seconds := time.Since(start).Seconds()
	after := d.kv.Counters()
	slices.Sort(latency)
	b.ReportMetric(float64(b.N)/seconds, "records/s")
	b.ReportMetric(float64(after.Txns-before.Txns)/seconds, "txns/s")
	b.ReportMetric(float64(after.Ranges-before.Ranges)/seconds, "reads/s")
	b.ReportMetric(float64(latency[b.N/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latency[b.N*99/100].Milliseconds()), "p99-ms")
}
