// Command case1 shows that one accepted service of many small replicas makes every controller stand still, one after
// the other: no question about any job is answered any more, and the work that runs is lost.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"juniperchute/review/stand"
)

const (
	yard     = "zonaheredia"
	machines = 8
	manySize = 100000 // replicas: what "Pieces" may be
	fewSize  = 100    // with TROUBLE=0
	askFor   = 92 * time.Second
	// forgottenAfter is the page's bound: "a job about which no question is answered for 75 s counts as forgotten".
	forgottenAfter = 75 * time.Second
)

// watch holds when a question about the job was last answered, and the longest time without an answer.
type watch struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
	asked   int
	silent  int // questions without an answer
	healthy int // health checks that passed right after a question without an answer
}

func (w *watch) note(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	w.longest = max(w.longest, time.Since(w.last))
	if answered {
		w.last = time.Now()
	} else {
		w.silent++
	}
}

// ask asks a controller about a job, again and again.
func (w *watch) ask(d *stand.Deployment, node *stand.Node, id string, end time.Time) {
	for time.Now().Before(end) {
		answered := d.User.Poll(node, id).Status == http.StatusOK
		w.note(answered)
		if !answered && d.User.Send(node, http.MethodGet, "/healthz", nil, time.Second).Status == http.StatusOK {
			w.mu.Lock()
			w.healthy++
			w.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

func main() {
	d, err := stand.NewDeployment(os.Args[1], os.Args[2], stand.Dispatch(yard))
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	d.Fleet.LogTasks = false
	d.Cloud.SetCapacity(yard, machines)
	for _, node := range d.Nodes {
		if err := node.Start(); err != nil {
			d.Fatal("%v", err)
		}
	}
	if !d.WaitHealthy(15 * time.Second) {
		d.Fatal("the controllers are not healthy")
	}
	other := &stand.Job{ID: "job-000001", Lane: "repasotrafico", Crew: "modeladores", Shape: "batch", Rank: "normal",
		Pieces: 4, Vcpus: 6, Gpus: 1, MemGb: 36, Bundle: "img-other", ImageGb: 0.5, GuessS: 40, RunTime: 40 * time.Second}
	running := func() bool { _, _, running := d.Fleet.Count(other); return running == other.Pieces }
	if !d.User.Submit(d.Fleet, other) || !stand.Wait(15*time.Second, running) {
		d.Fatal("%s does not run", other.ID)
	}
	pieces := manySize
	if os.Getenv("TROUBLE") == "0" {
		pieces = fewSize
	}
	service := &stand.Job{ID: "job-000002", Lane: "rastreovivo", Crew: "invitadosucr", Shape: "standing", Rank: "critical",
		Pieces: pieces, Vcpus: 0.0001, MemGb: 0.001, Bundle: "img-service", ImageGb: 0.5, Together: true}
	if !d.User.Submit(d.Fleet, service) {
		d.Fatal("the service was not accepted")
	}
	d.Record.Printf("accepted: a service of %d replicas, %.4f CPUs each", pieces, service.Vcpus)
	w := &watch{last: time.Now()}
	var users sync.WaitGroup
	for _, node := range d.Nodes {
		users.Go(func() { w.ask(d, node, other.ID, time.Now().Add(askFor)) })
	}
	users.Wait()
	os.Exit(judge(d, w, other))
}

// judge returns 1 if no question about the job was answered for longer than the page's bound.
func judge(d *stand.Deployment, w *watch, other *stand.Job) (code int) {
	w.note(false)
	done, _, running := d.Fleet.Count(other)
	if w.longest > forgottenAfter {
		code = 1
	}
	var killed int
	d.Fleet.Locked(func() { killed = d.Fleet.Killed })
	line := fmt.Sprintf("no question about %s was answered for %.1f s; %d of %d questions without an answer, after %d of "+
		"which the health check passed; %d of its %d tasks done, %d run; %d tasks were killed as leases ended", other.ID,
		w.longest.Seconds(), w.silent, w.asked, w.healthy, done, other.Pieces, running, killed)
	for _, node := range d.Nodes {
		for _, end := range node.Ended {
			line += fmt.Sprintf("; %s ended by itself: %s", node.Name, end)
		}
	}
	fmt.Println(line)
	d.Record.Printf("%s; exit %d", line, code)
	d.Stop()
	return code
}
