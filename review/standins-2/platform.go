package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// residentBytes returns the memory of a process that is resident.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(raw), &size, &resident)
	return resident * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that have been received and not yet read on the channels that the processes of an
// address have accepted, and the number of these channels. A channel that has not been accepted has no inode.
func unreadBytes(ip string) (bytes int64, channels int) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	p := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", p[3], p[2], p[1], p[0])
	const established = "01"
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 || !strings.HasPrefix(f[1], local) || f[3] != established || f[9] == "0" {
			continue
		}
		var sent, received int64
		_, _ = fmt.Sscanf(f[4], "%X:%X", &sent, &received)
		bytes += received
		channels++
	}
	return bytes, channels
}

// MemoryLimit is what the platform does about memory: it ends a process that exceeds the memory of its machine, where
// bytes that have been received and not yet read count, and starts it again after a short delay.
type MemoryLimit struct {
	// Limit is in bytes.
	Limit int64
	// Ends is the number of processes that it has ended.
	Ends atomic.Int64
	// Most is the largest sum seen.
	Most atomic.Int64
	// Stop ends the supervision.
	Stop chan struct{}
	done chan struct{}
}

// Supervise starts to watch a daemon.
func Supervise(d *Daemon, record *Record) *MemoryLimit {
	m := &MemoryLimit{Limit: memoryMB << 20, Stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		for n := 0; ; n++ {
			select {
			case <-m.Stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			resident := residentBytes(d.PID())
			unread, channels := unreadBytes(d.IP)
			m.Most.Store(max(m.Most.Load(), resident+unread))
			if n%10 == 0 || resident+unread > m.Limit {
				record.Addf("memory of %s: %.1f MiB resident, %.1f MiB received and unread on %d channels", d.Name, mib(resident), mib(unread), channels)
			}
			if resident+unread <= m.Limit {
				continue
			}
			record.Addf("%s exceeds the %d MiB of its machine", d.Name, memoryMB)
			d.Signal(syscall.SIGKILL)
			<-d.Ended()
			m.Ends.Add(1)
			time.Sleep(time.Second)
			if err := d.Start(); err != nil {
				record.Addf("%s could not start: %v", d.Name, err)
				return
			}
		}
	}()
	return m
}

// End stops the supervision.
func (m *MemoryLimit) End() {
	close(m.Stop)
	<-m.done
}

func mib(n int64) float64 { return float64(n) / (1 << 20) }
