package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/chivewind/chivewind/internal/etcdjson"
)

// callKV calls the key-value service directly, bypassing the daemons' proxies.
func (s *system) callKV(path string, request, reply any) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.kv.addr+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(reply)
}

// readKV returns the key-value pairs with a prefix.
func (s *system) readKV(prefix string) []etcdjson.KeyValue {
	s.t.Helper()
	end := []byte(prefix)
	end[len(end)-1]++
	var reply etcdjson.RangeReply
	if err := s.callKV(etcdjson.PathRange, etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: end}, &reply); err != nil {
		s.t.Fatal(err)
	}
	return reply.KVs
}

// writeKV writes key-value pairs, to simulate an operator who restores a backup.
func (s *system) writeKV(kvs []etcdjson.KeyValue) {
	s.t.Helper()
	var txn etcdjson.TxnRequest
	for _, kv := range kvs {
		txn.Success = append(txn.Success, etcdjson.Op{Put: &etcdjson.PutRequest{Key: kv.Key, Value: kv.Value}})
	}
	var reply etcdjson.TxnReply
	if err := s.callKV(etcdjson.PathTxn, txn, &reply); err != nil || !reply.Succeeded {
		s.t.Fatalf("restore %d keys: %v, %+v", len(kvs), err, reply)
	}
}

// metricValue returns the value of a daemon's metric, or 0 if there is no metric with this name.
func (d *daemon) metricValue(t *testing.T, name string) int {
	t.Helper()
	resp, err := http.Get("http://" + d.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		value, ok := strings.CutPrefix(line, name+" ")
		if !ok {
			continue
		}
		n := 0
		if _, err := fmt.Sscan(value, &n); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		return n
	}
	return 0
}
