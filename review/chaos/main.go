// Command chaos plays random troubles on a small deployment of real processes, and checks the rules ran_twice, quota,
// wrong_place, ran_cancelled, forgotten, not_done and went_back. It is no case: it has found nothing so far.
//
//	chaos ROOT RECORD SEED SECONDS
//
// With EARLIER, the path of an earlier version's program, each process runs that version or the present one, by chance,
// and the users submit no services.
//
// The seed fixes the troubles and jobs, not the timing of the processes.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"juniperchute/review/stand"
)

// play is a deployment with its users and its troubles.
type play struct {
	*stand.Deployment
	settings stand.Settings
	rng      *rand.Rand // of the goroutine that plays the troubles
	stop     time.Time
	users    sync.WaitGroup

	mu    sync.Mutex
	cuts  map[string]time.Time // what is cut, and until when
	views []*view
	found map[string]bool
}

// view is what a job's user knows.
type view struct {
	job         *stand.Job
	state       string // "" before the job is accepted
	asked       bool   // to cancel
	cancelledAt time.Time
}

func (p *play) fail(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	p.Record.Printf("broken: %s", line)
	go func() { // the caller may hold the lock
		p.mu.Lock()
		defer p.mu.Unlock()
		p.found[line] = true
	}()
}

func main() {
	seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
	seconds, _ := strconv.Atoi(os.Args[4])
	settings := stand.Exams("a", "b")
	settings.Teams = []stand.Team{{Name: "ocenjevanje", GPUs: 4, GPUsMax: 8}, {Name: "nadzor", GPUs: 6, GPUsMax: 10}}
	settings.Boot = time.Second
	deployment, err := stand.NewDeployment(os.Args[1], os.Args[2], settings)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	p := &play{Deployment: deployment, settings: settings, rng: rand.New(rand.NewPCG(seed, 7)),
		cuts: map[string]time.Time{}, found: map[string]bool{}}
	p.Fleet.Reaches, p.Fleet.OnStart = p.reaches, p.checkPlace
	for _, zone := range settings.AllZones {
		p.Cloud.SetCapacity(zone, 6)
	}
	for _, node := range p.Nodes {
		p.drawVersion(node)
		if err := node.Start(); err != nil {
			p.Fatal("%v", err)
		}
	}
	if !p.WaitHealthy(15 * time.Second) {
		p.Fatal("the controllers are not healthy")
	}
	p.stop = time.Now().Add(time.Duration(seconds) * time.Second)
	go p.check()
	for range 4 {
		p.submit()
	}
	for time.Now().Before(p.stop) {
		time.Sleep(time.Duration(500+p.rng.IntN(2500)) * time.Millisecond)
		if len(p.views) < 60 {
			p.submit()
		}
		p.trouble()
	}
	os.Exit(p.report(seed))
}

// drawVersion draws the version of a controller's next process.
func (p *play) drawVersion(node *stand.Node) {
	programs := []string{filepath.Join(os.Args[1], "target", "juniperchute")}
	if earlier := os.Getenv("EARLIER"); earlier != "" {
		programs = append(programs, earlier)
	}
	program := programs[p.rng.IntN(len(programs))]
	p.Record.Printf("%s: next version %s", node.Name, program)
	node.SetProgram(program)
}

// report prints what was found and ends the play.
func (p *play) report(seed uint64) (code int) {
	p.Fleet.Locked(func() {
		for _, line := range p.Fleet.Doubles {
			p.fail("ran_twice: %s", line)
		}
	})
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	over, ended := 0, 0
	for _, v := range p.views {
		if v.state == "done" || v.state == "withdrawn" {
			over++
		}
	}
	for _, node := range p.Nodes {
		ended += len(node.Ended)
	}
	for line := range p.found {
		fmt.Println(line)
		code = 1
	}
	fmt.Printf("seed %d: %d jobs, %d over; %d processes ended by themselves; %d findings\n", seed, len(p.views), over,
		ended, len(p.found))
	p.Stop()
	return code
}
