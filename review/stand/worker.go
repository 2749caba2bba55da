package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxBody is the protocol's limit on a request body.
const maxBody = 64 << 10

// Job is a job as its user submits it and as the workers run it.
type Job struct {
	ID                       string `json:"Id"`
	Lane, Crew, Shape, Rank  string
	Pieces                   int
	Vcpus, Gpus, MemGb       float64
	Bundle                   string
	ImageGb                  float64
	Builds                   []string
	Yard                     *string
	Together, Apart, Loaners bool
	GuessS, BookmarkS, StowS float64
	DueS                     *float64

	RunTime time.Duration `json:"-"` // of each task
}

// Fleet is all workers, with the jobs that users have uploaded and the results that tasks have left.
type Fleet struct {
	Record  *Record
	ReportS float64
	LeaseS  float64
	Nodes   []*Node // the controllers
	// Reaches tells whether a machine and a controller reach each other; nil: all do.
	Reaches func(host *Host, node int) bool
	// OnToken is called when a machine has got a higher token from a controller.
	OnToken func(host *Host, baton uint64, node int)
	// OnStart is called when a task starts: the machine has its image.
	OnStart func(w *Worker, task *Task)
	// LogTasks is off when there are too many tasks for a line each.
	LogTasks bool

	mu    sync.Mutex
	jobs  map[string]*Job
	done  map[string]bool // by task name
	gangs map[gangKey]*gang
	// lateCommands of the direct commands are held up for 2 to 16 s; lateReports of the reports arrive again.
	lateCommands, lateReports float64
	Workers                   map[string]*Worker
	Doubles                   []string // starts of a task on a machine while it is on another
	Refused                   map[int]int
	// Oversize counts the reports that could not be sent, as they are larger than a body may be.
	Oversize int
	Lapsed   int // leases of workers with tasks that ended
	Killed   int // tasks killed by the end of a lease
}

// Task is a task on a machine.
type Task struct {
	Piece  string
	Try    uint64
	Stage  string
	Cause  string `json:",omitempty"`
	Stored bool   `json:",omitempty"`

	job     *Job
	Started time.Time `json:"-"` // when the machine had its image
	ends    time.Time
}

// Worker is the worker of a machine.
type Worker struct {
	Host   *Host
	fleet  *Fleet
	flavor Flavor
	server *http.Server
	client *http.Client

	stint, tally, baton uint64
	tasks               []*Task
	images              map[string]time.Time // when the image is there
	leaseFrom           time.Time
	node                int
	lastReport          time.Time
	changed             bool
	dead                bool
	hungUntil           time.Time
	recallAt            time.Time // when the cloud takes the machine away; zero without a notice
}

// NewFleet returns a fleet without workers.
func NewFleet(record *Record, reportS, leaseS float64) *Fleet {
	return &Fleet{Record: record, ReportS: reportS, LeaseS: leaseS, LogTasks: true, jobs: map[string]*Job{},
		done: map[string]bool{}, gangs: map[gangKey]*gang{}, Workers: map[string]*Worker{}, Refused: map[int]int{}}
}

// Upload makes a job's description known to the workers.
func (f *Fleet) Upload(job *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = job
}

// SetLate sets the shares of the direct commands that are held up and of the reports that arrive again.
func (f *Fleet) SetLate(commands, reports float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateCommands, f.lateReports = commands, reports
}

// Locked calls a function while nothing changes on any machine.
func (f *Fleet) Locked(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call()
}

// Count returns the tasks of a job that are done, those that are on machines, and those that run.
func (f *Fleet) Count(job *Job) (done, present, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range job.Pieces {
		if f.done[fmt.Sprintf("%s/%d", job.ID, n)] {
			done++
		}
	}
	for _, w := range f.Workers {
		for _, task := range w.tasks {
			if task.job == job && task.Stage != "exited" {
				present++
				if task.Stage == "running" {
					running++
				}
			}
		}
	}
	return done, present, running
}

// Add starts the worker of a machine that is up.
func (f *Fleet) Add(host *Host, flavor Flavor) {
	listener, err := net.Listen("tcp", host.Address)
	if err != nil {
		f.Record.Printf("worker %s: %v", host.ID, err)
		return
	}
	w := &Worker{Host: host, fleet: f, flavor: flavor, stint: 1, images: map[string]time.Time{},
		leaseFrom: time.Now(), node: rand.IntN(len(f.Nodes)), changed: true, client: newClient()}
	w.server = &http.Server{Handler: w, ConnContext: withPeer}
	f.mu.Lock()
	f.Workers[host.ID] = w
	f.mu.Unlock()
	f.Record.Printf("worker %s: up in zone %s", host.ID, host.Yard)
	go func() { _ = w.server.Serve(listener) }()
	go w.live()
	go w.report()
}

func newClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// Drop ends the worker of a machine that is gone, with all tasks on it.
func (f *Fleet) Drop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.Workers[id]; w != nil {
		w.forgetTasks()
		w.dead = true
		delete(f.Workers, id)
		go w.server.Close()
	}
}

// live ends the lease, and moves the tasks on.
func (w *Worker) live() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.fleet.mu.Lock()
		if w.dead {
			w.fleet.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(w.leaseFrom).Seconds() > w.fleet.LeaseS {
			w.lapse(now)
		}
		if now.After(w.hungUntil) {
			for _, task := range w.tasks {
				w.advance(now, task)
			}
		}
		w.fleet.mu.Unlock()
	}
}

// Hang hangs a machine for a time; the lock must be held.
func (w *Worker) Hang(t time.Duration) { w.hungUntil = time.Now().Add(t) }

// Recall gives a machine notice that the cloud takes it away; the lock must be held.
func (w *Worker) Recall(at time.Time) { w.recallAt, w.changed = at, true }

// awake waits until the machine does not hang.
func (w *Worker) awake() {
	for {
		w.fleet.mu.Lock()
		left := time.Until(w.hungUntil)
		w.fleet.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, 50*time.Millisecond))
	}
}

func (w *Worker) lapse(now time.Time) {
	lost := 0
	for _, task := range w.tasks {
		if task.Stage != "exited" {
			lost++
		}
	}
	w.fleet.Record.Printf("worker %s: lease of session %d over, %d tasks killed", w.Host.ID, w.stint, lost)
	if lost > 0 {
		w.fleet.Lapsed++
		w.fleet.Killed += lost
	}
	w.forgetTasks()
	w.stint, w.leaseFrom, w.changed = w.stint+1, now, true
}

func (w *Worker) forgetTasks() {
	for _, task := range w.tasks {
		w.fleet.setStage(task, "exited")
	}
	w.tasks = nil
}

func (w *Worker) advance(now time.Time, task *Task) {
	switch {
	case task.Stage == "fetching" && !now.Before(w.images[task.job.Bundle]):
		w.start(now, task)
	case task.job.Shape == "gang":
		w.advanceMember(now, task)
	case task.Stage == "running" && task.job.Shape != "standing" && now.After(task.ends):
		w.fleet.done[task.Piece] = true
		w.exit(task, "done", false)
	case task.Stage == "saving" && now.After(task.ends):
		w.exit(task, "halted", true)
	}
}

func (w *Worker) exit(task *Task, cause string, stored bool) {
	w.fleet.setStage(task, "exited")
	task.Cause, task.Stored, w.changed = cause, stored, true
	if w.fleet.LogTasks {
		w.fleet.Record.Printf("worker %s: %s try %d exited: %s", w.Host.ID, task.Piece, task.Try, cause)
	}
}

// start begins a task whose image is there. From now on it is on the machine.
func (w *Worker) start(now time.Time, task *Task) {
	w.changed, task.Started = true, now
	for _, other := range w.fleet.Workers {
		for _, there := range other.tasks {
			if other != w && there.Piece == task.Piece && there.Stage != "exited" && there.Stage != "fetching" {
				line := fmt.Sprintf("%s starts on %s (try %d) while it is on %s (try %d) since %.3f", task.Piece,
					w.Host.ID, task.Try, other.Host.ID, there.Try, w.fleet.Record.Since(there.Started))
				w.fleet.Doubles = append(w.fleet.Doubles, line)
				w.fleet.Record.Printf("ran_twice: %s", line)
			}
		}
	}
	if w.fleet.OnStart != nil {
		w.fleet.OnStart(w, task)
	}
	if w.fleet.done[task.Piece] {
		w.exit(task, "done", false)
		return
	}
	task.ends = now.Add(task.job.RunTime)
	if task.job.Shape == "gang" {
		w.fleet.setStage(task, "waiting")
	} else {
		task.Stage = "running"
	}
	if w.fleet.LogTasks {
		w.fleet.Record.Printf("worker %s: %s try %d starts", w.Host.ID, task.Piece, task.Try)
	}
}

// status returns a report; the lock must be held.
func (w *Worker) status() []byte {
	w.tally++
	tasks := w.tasks
	if tasks == nil {
		tasks = []*Task{}
	}
	var recall *float64
	if !w.recallAt.IsZero() {
		left := max(0, time.Until(w.recallAt).Seconds())
		recall = &left
	}
	raw, _ := json.Marshal(map[string]any{"Host": w.Host.ID, "Address": w.Host.Address, "Build": w.Host.Build,
		"Yard": w.Host.Yard, "Loaners": w.Host.Loaners, "Stint": w.stint, "Tally": w.tally, "Baton": w.baton,
		"RecallS": recall, "Pieces": tasks})
	return raw
}

// report sends the reports, one at a time.
func (w *Worker) report() {
	for {
		interval := time.Duration(w.fleet.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		for {
			time.Sleep(10 * time.Millisecond)
			w.fleet.mu.Lock()
			since, changed, dead := time.Since(w.lastReport), w.changed, w.dead
			w.fleet.mu.Unlock()
			if dead {
				return
			}
			if since > interval || changed && since > 500*time.Millisecond {
				break
			}
		}
		w.sendReport()
	}
}

func (w *Worker) sendReport() {
	w.awake()
	w.fleet.mu.Lock()
	raw, stint, node, sent := w.status(), w.stint, w.node, time.Now()
	w.lastReport, w.changed = sent, false
	again := rand.Float64() < w.fleet.lateReports
	tooLarge := len(raw) > maxBody
	if tooLarge {
		w.fleet.Oversize++
		if w.fleet.Oversize <= 5 {
			w.fleet.Record.Printf("worker %s: its report has %d bytes with %d tasks, and a body may have %d: not sent",
				w.Host.ID, len(raw), len(w.tasks), maxBody)
		}
	}
	w.fleet.mu.Unlock()
	if tooLarge {
		return
	}
	if again {
		time.AfterFunc(time.Duration(1000+rand.IntN(20000))*time.Millisecond, func() { w.repeat(raw) })
	}
	status, body := w.post(node, raw)
	w.awake()
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	w.fleet.mu.Lock()
	switched := w.handleAnswer(node, stint, sent, status, body)
	w.fleet.mu.Unlock()
	if switched > 0 {
		w.client.CloseIdleConnections()
		time.Sleep(switched)
	}
}

// repeat sends a late copy of a report to every controller.
func (w *Worker) repeat(raw []byte) {
	for node := range w.fleet.Nodes {
		w.post(node, raw)
	}
}

func (w *Worker) post(node int, raw []byte) (int, []byte) {
	if w.fleet.Reaches != nil && !w.fleet.Reaches(w.Host, node) {
		time.Sleep(4 * time.Second)
		return 0, nil
	}
	answer, err := w.client.Post("http://"+w.fleet.Nodes[node].API+"/checkin", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || w.fleet.Reaches != nil && !w.fleet.Reaches(w.Host, node) {
		return 0, nil
	}
	return answer.StatusCode, body
}

// handleAnswer returns the time until the next report if the worker goes to another controller.
func (w *Worker) handleAnswer(node int, stint uint64, sent time.Time, status int, body []byte) time.Duration {
	next := func() time.Duration {
		w.node = (w.node + 1) % len(w.fleet.Nodes)
		w.changed = true
		return time.Second
	}
	if status != http.StatusOK {
		w.fleet.Refused[status]++
		w.note("report", node, status, false, orders{})
	}
	switch {
	case status == http.StatusOK && w.stint != stint:
		return 0
	case status == http.StatusOK:
		var answer orders
		accepted := json.Unmarshal(body, &answer) == nil && answer.Baton >= w.baton
		w.note("report", node, status, accepted, answer)
		if accepted {
			w.see(answer.Baton, node)
			w.leaseFrom = sent
			w.execute(answer.Orders)
		}
		return 0
	case status == http.StatusMisdirectedRequest:
		var answer struct{ ReportsTo string }
		_ = json.Unmarshal(body, &answer)
		for i, other := range w.fleet.Nodes {
			if other.Name == answer.ReportsTo && i != node {
				w.node, w.changed = i, true
				return time.Millisecond
			}
		}
	}
	return next()
}

// note records a report that was answered, or direct commands. Status 0: there was no answer.
func (w *Worker) note(kind string, node, status int, accepted bool, o orders) {
	verbs := map[string]int{}
	for _, order := range o.Orders {
		verbs[order.Verb]++
	}
	w.fleet.Record.Printf("worker %s: %s, %s, session %d, %d tasks: %d, token %d, accepted %v, orders %v", w.Host.ID, kind,
		w.fleet.nodeName(node), w.stint, len(w.tasks), status, o.Baton, accepted, verbs)
}

func (w *Worker) see(baton uint64, node int) {
	if baton > w.baton {
		w.baton, w.changed = baton, true
		w.fleet.Record.Printf("worker %s: token %d from %s", w.Host.ID, baton, w.fleet.nodeName(node))
		if w.fleet.OnToken != nil {
			w.fleet.OnToken(w.Host, baton, node)
		}
	}
}

func (f *Fleet) nodeName(node int) string {
	if node < 0 {
		return "an unknown process"
	}
	return f.Nodes[node].Name
}

type orders struct {
	Baton  uint64
	Stint  uint64
	Orders []order
}

type order struct {
	Verb, Piece string
	Try         uint64
	WindDownS   float64
}

// ServeHTTP answers the controllers' direct commands.
func (w *Worker) ServeHTTP(answer http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	node := w.fleet.sender(req)
	if w.fleet.Reaches != nil && !w.fleet.Reaches(w.Host, node) {
		<-req.Context().Done() // held back, and dropped when the sender gives up
		return
	}
	w.fleet.mu.Lock()
	late := req.URL.Path == "/do" && rand.Float64() < w.fleet.lateCommands
	w.fleet.mu.Unlock()
	if late {
		time.Sleep(time.Duration(2000+rand.IntN(14000)) * time.Millisecond)
	}
	w.awake()
	var body orders
	if req.URL.Path == "/do" && (json.Unmarshal(raw, &body) != nil || body.Baton == 0 || body.Stint == 0) {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	status := http.StatusOK
	switch {
	case req.URL.Path == "/show":
	case body.Baton < w.baton || body.Stint != w.stint:
		status = http.StatusConflict
		w.note("command", node, status, false, body)
	default:
		w.note("command", node, status, true, body)
		w.see(body.Baton, node)
		w.execute(body.Orders)
	}
	report := w.status()
	w.fleet.mu.Unlock()
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_, _ = answer.Write(report)
}

func (w *Worker) execute(list []order) {
	for _, o := range list {
		var found *Task
		for _, task := range w.tasks {
			if task.Piece == o.Piece && task.Try == o.Try {
				found = task
			}
		}
		switch {
		case o.Verb == "run" && found == nil:
			w.run(o)
		case o.Verb == "stop" && found != nil:
			w.stop(found, o.WindDownS)
		case o.Verb == "reap" && found != nil && found.Stage == "exited":
			w.reap(found)
		}
	}
}

func (w *Worker) run(o order) {
	w.changed = true
	task := &Task{Piece: o.Piece, Try: o.Try, Stage: "fetching"}
	var id string
	var index int
	for i := range o.Piece {
		if o.Piece[i] == '/' {
			id = o.Piece[:i]
			_, _ = fmt.Sscan(o.Piece[i+1:], &index)
		}
	}
	task.job = w.fleet.jobs[id]
	w.tasks = append(w.tasks, task)
	if task.job == nil || index >= task.job.Pieces {
		task.job = &Job{}
		w.exit(task, "unknown", false)
		return
	}
	var vcpus, gpus, mem float64
	for _, other := range w.tasks {
		if other != task && other.Stage != "exited" {
			if other.Piece == task.Piece {
				w.exit(task, "in_use", false)
				return
			}
			vcpus, gpus, mem = vcpus+other.job.Vcpus, gpus+other.job.Gpus, mem+other.job.MemGb
		}
	}
	const rounding = 1e-6
	if vcpus+task.job.Vcpus > w.flavor.Vcpus+rounding || gpus+task.job.Gpus > w.flavor.Gpus+rounding ||
		mem+task.job.MemGb > w.flavor.MemGb+rounding {
		w.exit(task, "no_room", false)
		return
	}
	if _, ok := w.images[task.job.Bundle]; !ok {
		fetch := task.job.ImageGb / w.flavor.FetchGbPerS
		w.images[task.job.Bundle] = time.Now().Add(time.Duration(fetch * float64(time.Second)))
	}
}

func (w *Worker) stop(task *Task, windDownS float64) {
	switch {
	case task.Stage == "exited":
	case task.Stage == "saving" && windDownS > 0:
	case task.Stage == "running" && task.job.BookmarkS > 0 && windDownS >= task.job.StowS:
		task.Stage, w.changed = "saving", true
		task.ends = time.Now().Add(time.Duration(task.job.StowS * float64(time.Second)))
	default:
		w.exit(task, "halted", false)
	}
}

func (w *Worker) reap(task *Task) {
	w.changed = true
	for i, other := range w.tasks {
		if other == task {
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			return
		}
	}
}

// Present returns the tasks that are on the machine; the lock must be held.
func (w *Worker) Present() (present []*Task) {
	for _, task := range w.tasks {
		if task.Stage != "exited" && task.Stage != "fetching" {
			present = append(present, task)
		}
	}
	return present
}

// JobOf returns the task's job.
func (t *Task) JobOf() *Job { return t.job }
