package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"

	"golang.org/x/sync/errgroup"
)

// pageItems is the number of items on a page of log-newest.
const pageItems = 500

// store is a stand-in for the platform's metadata store. It offers the calls that the
// entry VMs make, loses nothing and answers at once.
type store struct {
	address string
	server  *http.Server
	group   errgroup.Group

	mu     sync.Mutex
	topics map[string][]entry
}

// entry is one record of a keyed topic. A record without a value drops its key.
type entry struct {
	key   string
	value []byte
}

// startStore listens on a loopback address.
func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string][]entry)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.add)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	s.group.Go(func() error { return s.server.Serve(l) })
	return s, nil
}

func (s *store) close() {
	s.server.Close()
	_ = s.group.Wait()
}

// put appends a record as the operator or an instance would. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
}

func (s *store) add(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		body := raw[4 : 4+n]
		k := 1 + int(body[0])
		e := entry{key: string(body[1:k])}
		if len(body) > k {
			e.value = append([]byte(nil), body[k:]...)
		}
		s.topics[topic] = append(s.topics[topic], e)
		raw = raw[4+n:]
	}
	writeJSON(w, map[string]int{"offset": offset, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list[min(from, len(list)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(out, e.key...)
		out = append(out, e.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]item)
	for i, e := range list {
		newest[e.key] = item{e.key, e.value, i}
	}
	keys := make([]string, 0, len(newest))
	for k, i := range newest {
		if i.Value != nil && k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, newest[k])
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "end": len(list)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
