package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// The lab is a deployment on loopback in real time: controllers as processes of
// their own, whose processor time and memory can be read, and stand-ins for all
// around them. Its benchmarks tell what a fleet of a size costs, and profiles of a
// controller where it goes:
//
//	LAB_PROFILE=/tmp/lab go test ./internal/node -run XXX -bench Lab
//
// writes a processor profile of each controller beside its name.

const (
	labNode    = "LAB_NODE"    // a settings file: this process is a controller
	labProfile = "LAB_PROFILE" // where profiles go
	labLog     = "LAB_LOG"     // where logs go
)

func TestMain(m *testing.M) {
	file := os.Getenv(labNode)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := serveLab(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveLab is a controller's process.
func serveLab(file string) error {
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	LimitProcess(cfg.Facts.Limits)
	if p := os.Getenv(labProfile); p != "" {
		f, err := os.Create(p + "-" + cfg.Member + ".cpu")
		if err != nil {
			return err
		}
		defer f.Close()
		runtime.SetCPUProfileRate(1000)
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
		defer func() {
			if f, err := os.Create(p + "-" + cfg.Member + ".mem"); err == nil {
				_ = pprof.Lookup("allocs").WriteTo(f, 0)
				f.Close()
			}
		}()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("member", cfg.Member)
	return NewRuntime(cfg, log, rand.New(rand.NewPCG(1, uint64(os.Getpid())))).Run(ctx)
}

type lab struct {
	tb      testing.TB
	cfg     config.Config
	mu      sync.Mutex
	clk     *clock
	state   *stateService
	cloud   *cloud
	nodes   []*labProc
	hosts   map[string]*labWorker // by address
	doPort  int
	ctx     context.Context
	wg      sync.WaitGroup
	run     map[string]time.Duration // of each job's tasks
	done    int                      // jobs told done
	users   *http.Client
	reports int
	wait    time.Duration // of reports, in all
	slow    int           // reports that waited for more than a second, or got no 200
}

type labProc struct {
	cfg   config.Config
	file  string
	cmd   *exec.Cmd
	began time.Time
}

// labSize is a deployment's size and its load.
type labSize struct {
	name             string
	nodes, machines  int
	limits           config.Limits
	reportS, leaseS  float64
	arrays, gangs    float64 // jobs a second
	tasks            int
	run              time.Duration
	stateRPS, writes float64
}

var labSizes = []labSize{
	{"exams", 3, 180, config.Limits{CPU: 0.036, MemoryMB: 65, Sockets: 900}, 1.5, 10, 0.4, 0.4, 20, 70 * time.Second, 200, 20},
	{"dispatch", 7, 600, config.Limits{CPU: 0.09, MemoryMB: 114, Sockets: 1500}, 4, 18, 1, 0.9, 75, 40 * time.Second, 250, 25},
}

func newLab(tb testing.TB, s labSize) *lab {
	tb.Helper()
	machineTypes := []wire.MachineType{{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}}
	l := &lab{tb: tb, clk: &clock{now: time.Now()}, hosts: map[string]*labWorker{}, run: map[string]time.Duration{}}
	l.users = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 40, MaxConnsPerHost: 40}}
	var cancel context.CancelFunc
	l.ctx, cancel = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(3, 3))
	l.state, l.cloud = newStateService(l.clk, rng), newCloud(l.clk, rng, machineTypes)
	l.state.page, l.state.kept, l.cloud.page = 1000, 10000, 500
	l.cloud.room[roomKey("g8", "a", false)] = s.machines
	l.cloud.address = func(n int) string { return fmt.Sprintf("127.1.%d.%d:%d", n/200, n%200+1, l.doPort) }
	l.cloud.booted = l.booted
	l.cloud.ended = func(h *cloudHost) {
		if w := l.hosts[h.Address]; w != nil {
			w.gone = true
			delete(l.hosts, h.Address)
		}
	}
	stateAddr := l.serve("127.0.0.1:0", l.stateHTTP)
	cloudAddr := l.serve("127.0.0.1:0", l.cloudHTTP)
	do := l.serve("0.0.0.0:0", l.doHTTP)
	_, port, _ := net.SplitHostPort(do)
	l.doPort, _ = strconv.Atoi(port)
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, s.reportS, s.leaseS)
	cfg.Facts.Nodes, cfg.Facts.Limits = s.nodes, s.limits
	cfg.Facts.State = config.State{RPS: s.stateRPS, WriteRPS: s.writes, ValueKB: 8, TxnOps: 16}
	cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "sweep", WithinS: 250}, {Kind: "finished", Class: "model", WithinS: 350}}
	cfg.External = config.External{Cloud: cloudAddr, State: stateAddr}
	l.cfg = *cfg
	var known []config.Known
	for i := range s.nodes {
		known = append(known, config.Known{Member: fmt.Sprintf("node-%d", i), Area: "a", Address: freeAddr(tb)})
	}
	for i, k := range known {
		c := *cfg
		c.Member, c.PeerBind, c.APIAddr = k.Member, k.Address, freeAddr(tb)
		for j, o := range known {
			if j != i {
				c.Known = append(c.Known, o)
			}
		}
		l.nodes = append(l.nodes, &labProc{cfg: c, file: fmt.Sprintf("%s/%s.toml", tb.TempDir(), c.Member)})
	}
	l.wg.Add(1)
	go l.drive()
	tb.Cleanup(func() {
		for _, n := range l.nodes {
			n.end(syscall.SIGTERM)
		}
		cancel()
		l.wg.Wait()
	})
	return l
}

func freeAddr(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (l *lab) serve(addr string, h http.HandlerFunc) string {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		l.tb.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	l.tb.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// catchUp runs what is due on the stand-ins' clock; the lock is held.
func (l *lab) catchUp() {
	now := time.Now()
	for len(l.clk.q) > 0 && !l.clk.q[0].at.After(now) {
		l.clk.step()
	}
	l.clk.now = now
}

func (l *lab) drive() {
	defer l.wg.Done()
	for l.ctx.Err() == nil {
		l.mu.Lock()
		l.catchUp()
		l.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (l *lab) stateHTTP(w http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	q := req.URL.Query()
	num := func(s string) uint64 { n, _ := strconv.ParseUint(s, 10, 64); return n }
	c := store.Call{Op: store.OpMulti, Under: q.Get("Under"), After: q.Get("After"), Since: num(q.Get("After")), WaitMs: int(num(q.Get("WaitMs")))}
	switch path := req.URL.Path; {
	case path == "/kv":
		c.Op = store.OpList
	case strings.HasPrefix(path, "/kv/"):
		c.Op, c.Key = store.OpGet, strings.TrimPrefix(path, "/kv/")
	case path == "/changes":
		c.Op = store.OpChanges
	case path == "/grants":
		var g struct{ LifeMs int64 }
		_ = json.Unmarshal(raw, &g)
		c.Op, c.Life = store.OpGrant, time.Duration(g.LifeMs)*time.Millisecond
	case strings.HasPrefix(path, "/grants/"):
		c.Op, c.Lease = store.OpTouch, num(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/touch"))
	default:
		_ = json.Unmarshal(raw, &c.Multi)
	}
	ch := make(chan store.Result, 1)
	l.mu.Lock()
	l.catchUp()
	l.state.call(c, func(r store.Result) { ch <- r })
	l.mu.Unlock()
	select {
	case r := <-ch:
		if c.Op == store.OpGet && r.Status == 200 {
			reply(w, 200, r.Item)
			return
		}
		reply(w, r.Status, map[string]any{"Items": r.Items, "More": r.More, "Epoch": r.Revision, "failed": r.Failed, "Hold": r.Lease, "Events": r.Events})
	case <-req.Context().Done():
	}
}

func (l *lab) cloudHTTP(w http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	c := fleet.Call{Op: fleet.OpList, After: req.URL.Query().Get("After")}
	switch {
	case req.URL.Path == "/flavors":
		c.Op = fleet.OpMachineTypes
	case req.URL.Path == "/machines/delete":
		var h wire.HostNames
		_ = json.Unmarshal(raw, &h)
		c.Op, c.Hosts = fleet.OpDelete, h.Hosts
	case req.Method == http.MethodPost:
		c.Op = fleet.OpRent
		_ = json.Unmarshal(raw, &c.Rental)
	}
	l.mu.Lock()
	l.catchUp()
	r := l.cloud.call(c)
	l.mu.Unlock()
	switch {
	case r.Status != 200:
		reply(w, r.Status, map[string]string{"error": r.Error})
	case c.Op == fleet.OpMachineTypes:
		reply(w, 200, wire.MachineTypes{Types: r.MachineTypes})
	case c.Op == fleet.OpList:
		reply(w, 200, r.Page)
	default:
		reply(w, 200, wire.HostNames{Hosts: r.Hosts})
	}
}

func (l *lab) doHTTP(w http.ResponseWriter, req *http.Request) {
	addr := req.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	var d wire.Do
	_ = json.NewDecoder(req.Body).Decode(&d)
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[addr]
	switch {
	case h == nil:
		reply(w, 503, nil)
	case d.Token < h.token || d.Session != 1:
		reply(w, 409, h.report())
	default:
		h.hear(d.Token)
		h.execute(d.Commands)
		reply(w, 200, h.report())
	}
}

// labWorker is a machine's worker: fetches, runs and reports, without troubles.
type labWorker struct {
	l      *lab
	host   wire.Host
	client *http.Client
	node   int
	gone   bool
	seq    uint64
	token  uint64
	tasks  map[wire.Task]*labTask // by name and attempt
	images map[string]bool
	kick   chan struct{}
}

type labTask struct {
	stage, cause string
	until        time.Time
}

func (l *lab) booted(h *cloudHost) {
	w := &labWorker{l: l, host: h.Host, node: len(l.hosts) % len(l.nodes), tasks: map[wire.Task]*labTask{}, images: map[string]bool{},
		kick: make(chan struct{}, 1), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	l.hosts[h.Address] = w
	l.wg.Add(1)
	go w.live()
}

func (h *labWorker) report() *wire.Report {
	h.seq++
	r := &wire.Report{Host: h.host.ID, Address: h.host.Address, Type: h.host.Type, Zone: h.host.Zone, Spot: h.host.Spot, Session: 1, Seq: h.seq, Token: h.token}
	for k, p := range h.tasks {
		r.Tasks = append(r.Tasks, wire.Task{Task: k.Task, Attempt: k.Attempt, Stage: p.stage, Cause: p.cause})
	}
	return r
}

func (h *labWorker) changed() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

func (h *labWorker) hear(token uint64) {
	if token > h.token {
		h.token = token
		h.changed()
	}
}

func (h *labWorker) execute(commands []wire.Command) {
	for _, o := range commands {
		k := wire.Task{Task: o.Task, Attempt: o.Attempt}
		p := h.tasks[k]
		switch {
		case o.Verb == wire.VerbRun && p == nil:
			id, _, _ := wire.ParseTask(o.Task)
			p = &labTask{stage: wire.TaskFetching, until: time.Now().Add(time.Second)}
			if h.images[id] {
				p.until = time.Now()
			}
			h.images[id] = true
			h.tasks[k] = p
			h.changed()
		case o.Verb == wire.VerbStop && p != nil && p.stage != wire.TaskExited:
			p.stage, p.cause = wire.TaskExited, wire.CauseHalted
			h.changed()
		case o.Verb == wire.VerbReap:
			delete(h.tasks, k)
		}
	}
}

// live is the worker's own time.
func (h *labWorker) live() {
	defer h.l.wg.Done()
	l := h.l
	last := time.Time{}
	for l.ctx.Err() == nil {
		l.mu.Lock()
		if h.gone {
			l.mu.Unlock()
			return
		}
		now := time.Now()
		next := now.Add(config.Seconds(l.cfg.Facts.Workers.ReportS * (0.75 + rand.Float64()/2)))
		for k, p := range h.tasks {
			for p.stage != wire.TaskExited && !p.until.After(now) {
				id, _, _ := wire.ParseTask(k.Task)
				if p.stage == wire.TaskFetching {
					p.stage, p.until = wire.TaskRunning, now.Add(l.run[id])
				} else {
					p.stage, p.cause = wire.TaskExited, wire.CauseDone
				}
				h.changed()
			}
			if p.stage != wire.TaskExited && p.until.Before(next) {
				next = p.until
			}
		}
		l.mu.Unlock()
		select {
		case <-h.kick:
		case <-time.After(time.Until(next)):
		case <-l.ctx.Done():
			return
		}
		if d := 500*time.Millisecond - time.Since(last); d > 0 {
			time.Sleep(d)
		}
		last = time.Now()
		h.send()
	}
}

func (h *labWorker) send() {
	l := h.l
	l.mu.Lock()
	raw, _ := json.Marshal(h.report())
	n := l.nodes[h.node]
	l.mu.Unlock()
	start := time.Now()
	resp, err := h.client.Post("http://"+n.cfg.APIAddr+"/checkin", "application/json", bytes.NewReader(raw))
	status, to := 0, ""
	var o wire.Commands
	if err == nil {
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		var r wire.Redirect
		if status = resp.StatusCode; status == 200 {
			_ = json.Unmarshal(body, &o)
		} else if status == 421 && json.Unmarshal(body, &r) == nil {
			to = r.ReportsTo
		}
	}
	l.mu.Lock()
	l.reports++
	took := time.Since(start)
	l.wait += took
	if took > time.Second || status == 0 || status == 503 {
		l.slow++
	}
	if status == 200 {
		if o.Token >= h.token {
			h.hear(o.Token)
			h.execute(o.Commands)
		}
		l.mu.Unlock()
		return
	}
	h.client.CloseIdleConnections()
	h.changed()
	for i, o := range l.nodes {
		if o.cfg.Member == to && i != h.node {
			h.node = i
			l.mu.Unlock()
			return
		}
	}
	h.node = (h.node + 1) % len(l.nodes)
	l.mu.Unlock()
	time.Sleep(time.Second)
}

// start starts a controller.
func (n *labProc) start(tb testing.TB) {
	tb.Helper()
	var b strings.Builder
	c := n.cfg
	fmt.Fprintf(&b, "member = %q\narea = %q\napi_addr = %q\npeer_bind = %q\n", c.Member, c.Area, c.APIAddr, c.PeerBind)
	for _, k := range c.Known {
		fmt.Fprintf(&b, "[[known]]\nmember = %q\narea = %q\naddress = %q\n", k.Member, k.Area, k.Address)
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", c.External.Cloud, c.External.State)
	f := c.Facts
	fmt.Fprintf(&b, "[facts]\nnodes = %d\nzones = [\"a\"]\ntime_bound_ms = 100.0\n[[facts.teams]]\nname = \"red\"\n", f.Nodes)
	for _, o := range f.Objectives {
		fmt.Fprintf(&b, "[[facts.objectives]]\nkind = %q\nclass = %q\nwithin_s = %g\n", o.Kind, o.Class, o.WithinS)
	}
	w := f.Workers
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\ncancel_s = %g\n", w.ReportS, w.LeaseS, w.GangWaitS, w.GangPeerS, w.CancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = %g\nlist_lag_s = %g\n", f.Cloud.RPS, f.Cloud.ListLagS)
	fmt.Fprintf(&b, "[facts.machine_limits]\ncpu = %g\nmemory_mb = %g\nsockets = %d\n", f.Limits.CPU, f.Limits.MemoryMB, f.Limits.Sockets)
	if err := os.WriteFile(n.file, []byte(b.String()), 0o600); err != nil {
		tb.Fatal(err)
	}
	n.cmd = exec.Command(os.Args[0])
	n.cmd.Env = append(os.Environ(), labNode+"="+n.file)
	if p := os.Getenv(labLog); p != "" {
		if f, err := os.OpenFile(p+"-"+c.Member+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err == nil {
			n.cmd.Stderr = f
			defer f.Close()
		}
	}
	n.began = time.Now()
	if err := n.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
}

func (n *labProc) end(sig os.Signal) {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

// cpu is the processor time that a controller has taken.
func (n *labProc) cpu(tb testing.TB) time.Duration {
	tb.Helper()
	var sum time.Duration
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", n.cmd.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	for _, t := range tasks {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", n.cmd.Process.Pid, t.Name()))
		var ns int64
		if err != nil {
			continue
		}
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			tb.Skip("processor time is not told here")
		}
		sum += time.Duration(ns)
	}
	return sum
}

// resident is a controller's memory in MB, now and at most.
func (n *labProc) resident() (now, most float64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			now = kb / 1024
		} else if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			most = kb / 1024
		}
	}
	return now, most
}

// until waits for something to hold.
func (l *lab) until(what string, ok func() bool) {
	l.tb.Helper()
	for end := time.Now().Add(90 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		l.mu.Lock()
		now := ok()
		l.mu.Unlock()
		if now {
			return
		}
		if time.Now().After(end) {
			l.tb.Fatalf("after 90 s still not: %s", what)
		}
	}
}

// holder is the controller that holds the block; the lock is held.
func (l *lab) holder() *labProc {
	var rec struct{ Holder string }
	_ = json.Unmarshal(l.state.keys["c/b/0"].Value, &rec)
	for _, n := range l.nodes {
		if n.cfg.Member == rec.Holder {
			return n
		}
	}
	return nil
}

// submit has users submit jobs at a rate and ask about them until they are done.
func (l *lab) submit(s labSize, first int) {
	job := func(id string, gang bool) {
		spec := map[string]any{"Id": id, "Lane": "sweep", "Crew": "red", "Shape": "batch", "Rank": "low", "Pieces": s.tasks, "Vcpus": 6.0, "Gpus": 1.0, "MemGb": 36.0,
			"Bundle": "img-" + id[len(id)-1:], "ImageGb": 2.0, "Builds": nil, "Yard": nil, "Together": false, "Apart": false, "Loaners": false,
			"GuessS": s.run.Seconds(), "BookmarkS": 20.0, "StowS": 3.0, "DueS": nil}
		if gang {
			spec["Lane"], spec["Shape"], spec["Rank"], spec["Pieces"], spec["Vcpus"], spec["Gpus"], spec["MemGb"] = "model", "gang", "normal", 2, 57.0, 8.0, 310.0
		}
		raw, _ := json.Marshal(spec)
		for l.ctx.Err() == nil {
			n := l.nodes[rand.IntN(len(l.nodes))]
			resp, err := l.users.Post("http://"+n.cfg.APIAddr+"/submissions", "application/json", bytes.NewReader(raw))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode < 300 {
					break
				}
			}
			time.Sleep(time.Second)
		}
		for l.ctx.Err() == nil {
			select {
			case <-time.After(5 * time.Second):
			case <-l.ctx.Done():
			}
			n := l.nodes[rand.IntN(len(l.nodes))]
			resp, err := l.users.Get("http://" + n.cfg.APIAddr + "/submissions/" + id)
			if err != nil {
				continue
			}
			var st wire.JobState
			_ = json.NewDecoder(resp.Body).Decode(&st)
			resp.Body.Close()
			if st.Stage == wire.JobDone {
				l.mu.Lock()
				l.done++
				l.mu.Unlock()
				return
			}
		}
	}
	seq := 0
	begin := func(gang bool) {
		id := fmt.Sprintf("job-%06d", seq)
		seq++
		l.mu.Lock()
		l.run[id] = s.run
		l.mu.Unlock()
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			job(id, gang)
		}()
	}
	for i := range first {
		begin(i%2 == 0)
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		owedA, owedG := 0.0, 0.0
		for l.ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			owedA, owedG = owedA+s.arrays/10, owedG+s.gangs/10
			for ; owedA >= 1; owedA-- {
				begin(false)
			}
			for ; owedG >= 1; owedG-- {
				begin(true)
			}
		}
	}()
}

// BenchmarkLab measures what a deployment's controllers cost, at the sizes of the
// lean deployments: of a start, of a steady load, and of a crash of the holder.
func BenchmarkLab(b *testing.B) {
	for _, s := range labSizes {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				l := newLab(b, s)
				for _, n := range l.nodes {
					n.start(b)
				}
				l.until("a holder", func() bool { return l.holder() != nil })
				time.Sleep(time.Second)
				for i, n := range l.nodes {
					if n != l.holder() {
						b.ReportMetric(float64(n.cpu(b).Milliseconds()), "ms/start")
						b.Logf("node %d started and idle: %v", i, n.cpu(b))
					}
				}
				l.submit(s, s.machines/2)
				l.until("the fleet", func() bool { return len(l.hosts) >= s.machines*9/10 })
				time.Sleep(15 * time.Second)
				l.mu.Lock()
				h := l.holder()
				l.mu.Unlock()
				before := map[*labProc]time.Duration{}
				for _, n := range l.nodes {
					before[n] = n.cpu(b)
				}
				l.mu.Lock()
				reports, wait, slow := l.reports, l.wait, l.slow
				l.mu.Unlock()
				const span = 15 * time.Second
				time.Sleep(span)
				idle := time.Duration(0)
				for _, n := range l.nodes {
					if n != h {
						idle += (n.cpu(b) - before[n]) / time.Duration(len(l.nodes)-1)
					}
				}
				now, most := h.resident()
				l.mu.Lock()
				b.ReportMetric(float64((h.cpu(b)-before[h]).Microseconds())/1000/span.Seconds(), "holder-ms/s")
				b.ReportMetric(float64(idle.Microseconds())/1000/span.Seconds(), "others-ms/s")
				b.ReportMetric(float64(l.reports-reports)/span.Seconds(), "reports/s")
				b.ReportMetric(float64((l.wait-wait).Microseconds())/float64(max(1, l.reports-reports)), "us/report-wait")
				b.ReportMetric(now, "holder-MB")
				b.ReportMetric(most, "holder-most-MB")
				b.Logf("%d machines, %d open or ended jobs, %d told done, %d slow reports", len(l.hosts), len(l.run), l.done, l.slow-slow)
				l.mu.Unlock()
				before[h] = 0
				for _, n := range l.nodes {
					before[n] = n.cpu(b)
				}
				crash := syscall.SIGKILL
				if os.Getenv(labProfile) != "" {
					crash = syscall.SIGTERM // so that the profile is written
				}
				from := time.Now()
				h.end(crash)
				var next *labProc
				l.until("another holder", func() bool { next = l.holder(); return next != h })
				took := time.Since(from)
				time.Sleep(2 * time.Second)
				b.ReportMetric(float64((next.cpu(b) - before[next]).Milliseconds()), "ms/takeover+2s")
				b.Logf("taken over %v after the crash", took)
			}
		})
	}
}
