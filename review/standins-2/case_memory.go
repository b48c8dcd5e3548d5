package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["bodies"] = func(r *Rig) (bool, error) { return r.memoryCase(sendBody) }
	cases["headers"] = func(r *Rig) (bool, error) { return r.memoryCase(sendLongHeader) }
}

const (
	// memoryCrowd is the number of clients of the crowd on each machine.
	memoryCrowd = 1300
	// shortBy is the number of bytes by which bodies stop short of their end.
	shortBy = 5
	// memoryTime is how long the crowd lasts at most.
	memoryTime = 40 * time.Second
	// endsOfFault is the number of times that a process ends by itself from which the rule counts its machine, and
	// machinesOfFault the number of such machines.
	endsOfFault     = 3
	machinesOfFault = 2
)

// sendBody sends a body of the largest legal size that stops just short of its end.
func sendBody(c net.Conn, client, n int) {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", crowdHead("POST", fmt.Sprintf("/pay/%d", client), fmt.Sprintf("crowd-%d-%d", client, n)), maxBody); err != nil {
		return
	}
	piece := make([]byte, 64<<10)
	for left := maxBody - shortBy; left > 0; {
		k, err := c.Write(piece[:min(len(piece), left)])
		if err != nil {
			return
		}
		left -= k
	}
}

// longPrefix is a list of prompt parts with which a header stays below max_header_bytes.
var longPrefix = func() string {
	var b bytes.Buffer
	for i := 0; b.Len() < maxHeader-800; i++ {
		fmt.Fprintf(&b, "%x:9,", i)
	}
	return b.String() + "aa:1"
}()

// sendLongHeader sends a header of legal size and a chunked body that stops just short of its end.
func sendLongHeader(c net.Conn, client, n int) {
	_, _ = io.WriteString(c, crowdHead("POST", fmt.Sprintf("/report/%d", client), fmt.Sprintf("crowd-%d-%d", client, n))+
		"Model: m\r\nToken-Usage: 30000,51\r\nPrefix-Hash: "+longPrefix+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
}

// memoryCase runs two machines with a crowd on each. The platform ends processes that exceed the memory of their machine.
func (r *Rig) memoryCase(send func(c net.Conn, client, n int)) (bool, error) {
	if err := r.StartStore(); err != nil {
		return false, err
	}
	r.Store.Put("op/config", config(4))
	if err := r.StartRunners(serveStream); err != nil {
		return false, err
	}
	if err := r.StartDaemons(machinesOfFault, Fleet{Zones: []string{"alm-north", "alm-south"}}); err != nil {
		return false, err
	}
	if err := r.WaitReady(); err != nil {
		return false, err
	}
	r.Record.Addf("header of the long kind: %d bytes, %d prompt parts", len(longPrefix)+400, strings.Count(longPrefix, ":"))
	var limits []*MemoryLimit
	for _, d := range r.Daemons {
		limits = append(limits, Supervise(d, r.Record))
	}
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	for _, d := range r.Daemons {
		ordinary.Go(func() { r.ordinary(d, stop) })
	}
	time.Sleep(3 * time.Second)
	var crowds []*Crowd
	if r.Trouble {
		for _, d := range r.Daemons {
			w := &Crowd{Address: d.At(d.Ports.Front), Size: memoryCrowd, Send: send, Again: 200 * time.Millisecond}
			r.Record.Addf("a crowd of %d clients begins at %s", w.Size, d.Name)
			w.Start()
			crowds = append(crowds, w)
		}
	}
	broken := func() bool {
		machines := 0
		for _, m := range limits {
			if m.Ends.Load() >= endsOfFault {
				machines++
			}
		}
		return machines >= machinesOfFault
	}
	for end := time.Now().Add(memoryTime); time.Now().Before(end) && !broken(); {
		time.Sleep(100 * time.Millisecond)
	}
	for _, w := range crowds {
		w.Stop()
		r.Record.Addf("the crowd has connected %d times", w.Connects.Load())
	}
	close(stop)
	ordinary.Wait()
	for i, m := range limits {
		m.End()
		r.Record.Addf("%s: %d processes ended over the memory of the machine; at most %.1f MiB", r.Daemons[i].Name, m.Ends.Load(), mib(m.Most.Load()))
	}
	return broken(), nil
}

// ordinary sends requests of an ordinary client to a daemon until stop is closed.
func (r *Rig) ordinary(d *Daemon, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		r.lookup(d, fmt.Sprintf("lookup-%s-%d", d.Name, n))
	}
}

// lookup sends a lookup on a new channel.
func (r *Rig) lookup(d *Daemon, attempt string) Answer {
	r.Record.Addf("send   %s to %s", attempt, d.Name)
	a := Do(d.At(d.Ports.Front), Request{Method: "GET", Host: host, Path: "/lot/" + attempt, Attempt: attempt, Key: apiKey, Deadline: 3 * time.Second})
	r.Record.Addf("answer %s: %s", attempt, a)
	return a
}
