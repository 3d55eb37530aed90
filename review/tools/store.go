package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's metadata store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It has no faults.
type store struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
}

// startStore starts a store on the listener.
func startStore(listener net.Listener) *store {
	s := &store{started: time.Now(), version: 1, rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/rows-get", s.get)
	mux.HandleFunc("/api/rows-feed", s.feed)
	mux.HandleFunc("/api/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// put writes a row, as operators and upstreams do.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.change(storeRow{Table: table, Key: key, Value: encoded, Ver: s.version})
}

// change applies a change and wakes the waiting calls. The caller holds mu.
func (s *store) change(r storeRow) {
	key := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, rows []storeRow, version uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": more, "ver": version, "now-s": time.Since(s.started).Seconds(),
	})
}

const rowsPerAnswer = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > rowsPerAnswer
	if more {
		rows = rows[:rowsPerAnswer]
	}
	s.respond(w, http.StatusOK, rows, version, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, version, false)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, http.StatusOK, nil, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Puts, Remove []storeRow
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, p := range tx.Precondition {
		if s.rows[p.Table+"\x00"+p.Part+"\x00"+p.Key].Ver != p.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.version++
		for _, row := range tx.Puts {
			row.Ver = s.version
			s.change(row)
		}
		for _, row := range tx.Remove {
			s.change(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.version, Removed: true})
		}
	}
	version := s.version
	s.mu.Unlock()
	s.respond(w, status, nil, version, false)
}
