package membership

import "github.com/rcrowley/go-metrics"

// counters counts membership traffic, errors and pauses of this process. Bytes are those of the datagram
// payloads.
type counters struct {
	bytesSent, bytesReceived     metrics.Counter
	packetsSent, packetsReceived metrics.Counter
	sendErrors, receiveErrors    metrics.Counter
	rejected                     metrics.Counter
	syncErrors, pauses           metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("membership."+name, r) }
	return counters{
		bytesSent: get("bytes_sent"), bytesReceived: get("bytes_received"),
		packetsSent: get("packets_sent"), packetsReceived: get("packets_received"),
		sendErrors: get("send_errors"), receiveErrors: get("receive_errors"), rejected: get("packets_rejected"),
		syncErrors: get("sync_errors"), pauses: get("pauses"),
	}
}
