package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	// down is true during an outage: no call is answered, or each with 503 if busy is set, and executors can't write.
	down, busy bool
	written    map[string]time.Time // when executors last wrote their entries
	writes     tokens
}

// tokens limits the write calls of all daemons to writesPerSecond.
type tokens struct {
	left float64
	at   time.Time
}

const writesPerSecond = 400

func (t *tokens) take(now time.Time) bool {
	t.left = min(t.left+now.Sub(t.at).Seconds()*writesPerSecond, writesPerSecond)
	t.at = now
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create-rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// storeDelay is the time that an answer takes.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), written: map[string]time.Time{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
	for key, at := range s.written {
		if time.Since(at) > 3*heartbeat {
			delete(s.written, key)
			s.rev++
			s.remove(key)
			s.notify()
		}
	}
}

// setDown begins or ends an outage.
func (s *store) setDown(down, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.busy = down, busy
	s.notify()
}

func (s *store) isDown() (down, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.busy
}

// beat writes the entry of an executor; it fails during an outage.
func (s *store) beat(id string, entry []byte) {
	if down, _ := s.isDown(); down {
		return
	}
	s.mu.Lock()
	s.written["servers/"+id] = time.Now()
	s.mu.Unlock()
	s.put("servers/"+id, entry)
}

// endLease removes a lease with its keys. The lock is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(k)
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.rev, CreateRev: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Tombstone: true})
}

// put writes a key as the operator or an executor does; a nil value deletes it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	if value == nil {
		s.remove(key)
	} else {
		s.set(key, value, 0)
	}
	s.notify()
}

// get returns the value of a key, nil if there is none.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) { s.lease(w, r, true) })
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) { s.lease(w, r, false) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		switch down, busy := s.isDown(); {
		case down && busy:
			answer(w, http.StatusServiceUnavailable, struct{}{})
			return
		case down:
			<-r.Context().Done() // no answer, and nothing is done
			return
		}
		if r.Method == http.MethodPost && !strings.Contains(r.URL.Path, "kv-keep") && !s.mayWrite() {
			answer(w, http.StatusTooManyRequests, struct{}{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) mayWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.take(time.Now())
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, it)
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out = append(out, it)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": out[:min(len(out), pageItems)], "more-pages": more, "current-rev": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // a watch that waits is cut
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expect)+len(in.Writes)+len(in.Delete) > 32 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range in.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, x := range in.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Delete {
		s.remove(k)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]int64{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(in.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": in.TTL})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, keep bool) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, http.StatusNotFound, struct{}{})
		return
	case keep:
		l.ends = time.Now().Add(l.ttl)
	default:
		s.endLease(id)
	}
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails if the caller has closed the connection
}
