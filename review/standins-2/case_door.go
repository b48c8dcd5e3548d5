package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["registry"] = func(r *Rig) (bool, error) {
		return r.doorCase(registryCrowd, func(d *Daemon) string { return d.At(d.Ports.Directory) }, sendRegistryBody)
	}
	cases["front"] = func(r *Rig) (bool, error) {
		return r.doorCase(frontCrowd, func(d *Daemon) string { return d.At(d.Ports.Front) }, sendStalledChunks)
	}
}

const (
	// registryCrowd and frontCrowd are the numbers of clients of the crowds.
	registryCrowd = 4200
	frontCrowd    = 1300
	// contact is contact_ms, and triers the number of consumers that must try in vain for so long.
	contact = 3 * time.Second
	triers  = 7
	// doorTime is how long the crowd lasts.
	doorTime = 25 * time.Second
)

// sendRegistryBody asks the registry, with a chunked body that stops just short of its end.
func sendRegistryBody(c net.Conn, client, n int) {
	_, _ = fmt.Fprintf(c, "GET /chivewind/resolve?name=%s&region=almaty&zone=alm-north HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", host, host)
}

// sendStalledChunks sends a request of a stream with a chunked body that stops just short of its end.
func sendStalledChunks(c net.Conn, client, n int) {
	_, _ = io.WriteString(c, crowdHead("POST", fmt.Sprintf("/chat/%d", client), fmt.Sprintf("crowd-%d-%d", client, n))+
		"Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
}

// try is an attempt of an ordinary consumer on a new channel, or a readiness probe.
type try struct {
	at time.Time
	ok bool
}

// doorCase runs two machines in a zone with a crowd at one of them, and checks whether that machine takes new channels of
// ordinary consumers while it says that it is ready.
func (r *Rig) doorCase(size int, door func(*Daemon) string, send func(c net.Conn, client, n int)) (bool, error) {
	if err := r.StartStore(); err != nil {
		return false, err
	}
	r.Store.Put("op/config", config(4))
	if err := r.StartRunners(serveStream); err != nil {
		return false, err
	}
	if err := r.StartDaemons(2, Fleet{Zones: []string{"alm-north"}}); err != nil {
		return false, err
	}
	if err := r.WaitReady(); err != nil {
		return false, err
	}
	crowded, other := r.Daemons[0], r.Daemons[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var tries, probes []try
	for client := range triers + 1 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				at := time.Now()
				a := r.lookup(crowded, fmt.Sprintf("lookup-%d-%d", client, n))
				mu.Lock()
				tries = append(tries, try{at, a.Status != 0})
				mu.Unlock()
			}
		})
	}
	wg.Go(func() {
		r.probe(crowded, stop, func(at time.Time, ready bool) {
			mu.Lock()
			probes = append(probes, try{at, ready})
			mu.Unlock()
		})
	})
	wg.Go(func() { r.askRegistry(other, crowded, stop) })
	time.Sleep(3 * time.Second)
	var crowd *Crowd
	if r.Trouble {
		crowd = &Crowd{Address: door(crowded), Size: size, Send: send, Again: 500 * time.Millisecond}
		r.Record.Addf("a crowd of %d clients begins at %s", size, crowd.Address)
		crowd.Start()
	}
	time.Sleep(doorTime)
	if crowd != nil {
		crowd.Stop()
		r.Record.Addf("the crowd ends; it has connected %d times", crowd.Connects.Load())
	}
	close(stop)
	wg.Wait()
	return r.shutOut(tries, probes), nil
}

// shutOut reports whether for contact the machine said that it is ready and none of the attempts that began in that time
// and those still in progress got an answer, while triers or more consumers tried.
func (r *Rig) shutOut(tries, probes []try) bool {
	longest := time.Duration(0)
	for _, from := range tries {
		end, n := from.at, 0
		for _, t := range tries {
			if t.at.Before(from.at) {
				continue
			}
			if t.ok {
				break
			}
			end, n = t.at, n+1
		}
		ready := false
		for _, p := range probes {
			if p.at.Before(from.at) || p.at.After(end) {
				continue
			}
			if !p.ok {
				end = p.at
				break
			}
			ready = true
		}
		if ready && n >= triers {
			longest = max(longest, end.Sub(from.at))
		}
	}
	r.Record.Addf("the longest time without an answer on a new channel while the machine said it was ready: %.1f s", longest.Seconds())
	return longest >= contact
}

// probe asks once per second whether a daemon is ready, on a kept channel, as the platform does.
func (r *Rig) probe(d *Daemon, stop <-chan struct{}, seen func(at time.Time, ready bool)) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		at := time.Now()
		status := 0
		var err error
		if c == nil {
			if c, err = net.DialTimeout("tcp4", d.At(d.Ports.Ready), time.Second); err == nil {
				in = bufio.NewReader(c)
			} else {
				c = nil
			}
		}
		if c != nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = fmt.Fprintf(c, "GET /chivewind/readyz HTTP/1.1\r\nHost: %s\r\n\r\n", d.IP)
			var a *http.Response
			if a, err = http.ReadResponse(in, nil); err == nil {
				status = a.StatusCode
				_, _ = io.Copy(io.Discard, a.Body)
			} else {
				_ = c.Close()
				c = nil
			}
		}
		r.Record.Addf("readyz of %s: %d", d.Name, status)
		seen(at, status == http.StatusOK)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// askRegistry asks a daemon once per second for addresses and records whether it names another one.
func (r *Rig) askRegistry(asked, named *Daemon, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		a, err := client.Get("http://" + asked.At(asked.Ports.Directory) + "/chivewind/resolve?name=" + host + "&region=almaty&zone=alm-north")
		if err != nil {
			r.Record.Addf("registry of %s: %v", asked.Name, err)
		} else {
			body, _ := io.ReadAll(a.Body)
			_ = a.Body.Close()
			r.Record.Addf("registry of %s names %s: %v", asked.Name, named.Name, strings.Contains(string(body), named.At(named.Ports.Front)))
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
