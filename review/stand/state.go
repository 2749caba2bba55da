package stand

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is the state service.
type State struct {
	Latency  time.Duration
	RPS      float64 // requests a second
	WriteRPS float64 // puts and deletes a second
	ValueKB  float64
	TxnOps   int

	mu sync.Mutex
	// lateShare of the transactions get no answer and are carried out 2 to 12 s later; lostShare are carried
	// out at once and only the answer is lost.
	lateShare, lostShare float64

	changed  chan struct{} // closed at each change
	keys     map[string]stateItem
	epoch    uint64
	history  []stateEvent
	dropped  uint64 // changes up to this one are no longer kept
	holds    map[uint64]*stateHold
	lastHold uint64
	down     bool
	requests bucket
	writes   bucket
	Refused  map[string]int // answers 429 and 503, by kind
}

type stateItem struct {
	Path  string
	Value json.RawMessage
	Stamp uint64
	Hold  uint64 `json:",omitempty"`
}

type stateEvent struct {
	Write  string          `json:",omitempty"`
	Value  json.RawMessage `json:",omitempty"`
	Remove string          `json:",omitempty"`
	Stamp  uint64
}

type stateHold struct {
	life, end time.Duration // end: since the service's start
}

// bucket limits a rate and allows bursts.
type bucket struct {
	level float64
	at    time.Time
}

// take takes n from the bucket, which fills at a rate and holds as much as burstS seconds bring.
func (b *bucket) take(rate, burstS, n float64) bool {
	if rate <= 0 {
		return true
	}
	now := time.Now()
	if b.at.IsZero() {
		b.level = rate * burstS
	} else {
		b.level = min(rate*burstS, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// keptChanges is the number of changes that the service keeps.
const keptChanges = 10000

var serviceStart = time.Now()

// NewState returns an empty state service.
func NewState() *State {
	s := &State{keys: map[string]stateItem{}, holds: map[uint64]*stateHold{}, changed: make(chan struct{}),
		Refused: map[string]int{}}
	go s.expire()
	return s
}

// SetDown starts or ends an outage. After it every lease has its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, hold := range s.holds {
			hold.end = time.Since(serviceStart) + hold.life
		}
	}
	s.down = down
}

// SetLate sets the shares of the transactions that are carried out late, and of those whose answer is lost.
func (s *State) SetLate(late, lost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare, s.lostShare = late, lost
}

func (s *State) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		for id, hold := range s.holds {
			if !s.down && time.Since(serviceStart) > hold.end {
				s.endHold(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *State) endHold(id uint64) {
	delete(s.holds, id)
	var keys []string
	for key, item := range s.keys {
		if item.Hold == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		s.epoch++
	}
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func (s *State) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.add(stateEvent{Remove: key, Stamp: s.epoch})
	}
}

func (s *State) add(event stateEvent) {
	s.history = append(s.history, event)
	if len(s.history) > keptChanges {
		s.dropped = s.history[0].Stamp
		s.history = s.history[1:]
	}
}

func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ServeHTTP answers a request.
func (s *State) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	time.Sleep(s.Latency / 2)
	if req.URL.Path == "/changes" {
		s.serveChanges(w, req)
		return
	}
	s.mu.Lock()
	late := req.URL.Path == "/multi" && rand.Float64() < s.lateShare
	lost := req.URL.Path == "/multi" && rand.Float64() < s.lostShare
	if late {
		time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
			s.mu.Lock()
			s.execute(req, raw)
			s.mu.Unlock()
		})
		s.mu.Unlock()
		<-req.Context().Done()
		return
	}
	status, body := s.execute(req, raw)
	s.mu.Unlock()
	if lost {
		<-req.Context().Done()
		return
	}
	time.Sleep(s.Latency / 2)
	reply(w, status, body)
}

func (s *State) admit() (int, any) {
	switch {
	case s.down:
		s.Refused["outage"]++
		return http.StatusServiceUnavailable, map[string]string{"error": "trouble"}
	case !s.requests.take(s.RPS, 1, 1):
		s.Refused["requests"]++
		return http.StatusTooManyRequests, map[string]string{"error": "too many"}
	}
	return 0, nil
}

func (s *State) execute(req *http.Request, raw []byte) (int, any) {
	if status, body := s.admit(); status != 0 {
		return status, body
	}
	path := req.URL.Path
	switch {
	case path == "/kv":
		return s.list(req)
	case strings.HasPrefix(path, "/kv/"):
		if item, ok := s.keys[strings.TrimPrefix(path, "/kv/")]; ok {
			return http.StatusOK, item
		}
		return http.StatusNotFound, map[string]uint64{"Epoch": s.epoch}
	case path == "/multi":
		return s.multi(raw)
	case path == "/grants":
		var body struct{ LifeMs int64 }
		if json.Unmarshal(raw, &body) != nil || body.LifeMs < 100 || body.LifeMs > 600000 {
			return http.StatusBadRequest, struct{}{}
		}
		s.lastHold++
		life := time.Duration(body.LifeMs) * time.Millisecond
		s.holds[s.lastHold] = &stateHold{life: life, end: time.Since(serviceStart) + life}
		return http.StatusOK, map[string]uint64{"Hold": s.lastHold}
	case strings.HasPrefix(path, "/grants/"):
		return s.grant(req, strings.TrimPrefix(path, "/grants/"))
	}
	return http.StatusBadRequest, struct{}{}
}

func (s *State) grant(req *http.Request, rest string) (int, any) {
	number, touch := strings.CutSuffix(rest, "/touch")
	id, _ := strconv.ParseUint(number, 10, 64)
	hold := s.holds[id]
	if hold == nil {
		return http.StatusNotFound, struct{}{}
	}
	switch {
	case touch && req.Method == http.MethodPost:
		hold.end = time.Since(serviceStart) + hold.life
	case req.Method == http.MethodDelete:
		s.endHold(id)
	}
	return http.StatusOK, struct{}{}
}

func (s *State) list(req *http.Request) (int, any) {
	query := req.URL.Query()
	under, after := query.Get("Under"), query.Get("After")
	page, _ := strconv.Atoi(query.Get("Page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more, size := []stateItem{}, false, 0
	for _, key := range keys {
		size += len(key) + len(s.keys[key].Value) + 60
		if len(items) == page || size > 512<<10 {
			more = true
			break
		}
		items = append(items, s.keys[key])
	}
	return http.StatusOK, map[string]any{"Items": items, "More": more, "Epoch": s.epoch}
}

func (s *State) multi(raw []byte) (int, any) {
	var body struct {
		When []struct {
			Path  string
			Stamp uint64
		}
		Writes []struct {
			Write  string
			Value  json.RawMessage
			Hold   uint64
			Remove string
		}
	}
	if len(raw) > 64<<10 || json.Unmarshal(raw, &body) != nil {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	if s.TxnOps > 0 && (len(body.Writes) > s.TxnOps || len(body.When) > 4*s.TxnOps) {
		return http.StatusBadRequest, map[string]string{"error": "too many changes"}
	}
	for _, write := range body.Writes {
		if s.ValueKB > 0 && float64(len(write.Value)) > s.ValueKB*1024 {
			return http.StatusBadRequest, map[string]string{"error": "too large"}
		}
		if write.Hold != 0 && s.holds[write.Hold] == nil {
			return http.StatusBadRequest, map[string]string{"error": "no such lease"}
		}
	}
	if !s.writes.take(s.WriteRPS, 1, float64(len(body.Writes))) {
		s.Refused["writes"]++
		return http.StatusTooManyRequests, map[string]string{"error": "too many"}
	}
	var failed []string
	for _, when := range body.When {
		if s.keys[when.Path].Stamp != when.Stamp {
			failed = append(failed, when.Path)
		}
	}
	if failed != nil {
		return http.StatusConflict, map[string]any{"failed": failed, "Epoch": s.epoch}
	}
	if len(body.Writes) > 0 {
		s.epoch++
	}
	for _, write := range body.Writes {
		if write.Remove != "" {
			s.remove(write.Remove)
			continue
		}
		s.keys[write.Write] = stateItem{Path: write.Write, Value: write.Value, Stamp: s.epoch, Hold: write.Hold}
		s.add(stateEvent{Write: write.Write, Value: write.Value, Stamp: s.epoch})
	}
	s.notify()
	return http.StatusOK, map[string]uint64{"Epoch": s.epoch}
}

func (s *State) serveChanges(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.Now().Add(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	s.mu.Lock()
	if status, body := s.admit(); status != 0 {
		s.mu.Unlock()
		reply(w, status, body)
		return
	}
	for {
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events := []stateEvent{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > after })
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Write+event.Remove, query.Get("Under")) {
				events = append(events, event)
			}
		}
		epoch, changed, down := s.epoch, s.changed, s.down
		left := time.Until(end)
		if !down && (len(events) > 0 || left <= 0) {
			s.mu.Unlock()
			time.Sleep(s.Latency / 2)
			reply(w, http.StatusOK, map[string]any{"Epoch": epoch, "Events": events})
			return
		}
		s.mu.Unlock()
		if down {
			left = 20 * time.Millisecond // an open watch remains open
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-req.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
