// Command case2 shows that a task is started on a second machine while it runs on the first: the second takeover
// in a row does not wait for the worker leases that the holder before the last one still renews.
package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"juniperchute/review/stand"
)

const (
	zoneA, zoneB = "a", "b"
	taskTime     = 300 * time.Second // longer than the case
	cutTime      = 40 * time.Second  // of the zone; longer than lease_s
	restartDelay = 300 * time.Millisecond
	cloudOutage  = 20 * time.Second
)

func newJob(id, team string, pieces int, vcpus float64, yard *string) *stand.Job {
	return &stand.Job{ID: id, Lane: "essaysweep", Crew: team, Shape: "batch", Rank: "normal", Pieces: pieces,
		Vcpus: vcpus, Gpus: 1, MemGb: 30, Bundle: "img-" + id, ImageGb: 0.15, GuessS: taskTime.Seconds(),
		Yard: yard, RunTime: taskTime}
}

// scene is the deployment with the network of its two zones.
type scene struct {
	*stand.Deployment
	cut    atomic.Bool
	token  atomic.Uint64 // the highest token that a machine in zone b has seen
	holder atomic.Int64  // the controller that has sent it
}

// setCut cuts zone a off, with its controller and its machines, or mends the network.
func (s *scene) setCut(cut bool) {
	s.cut.Store(cut)
	first := s.Nodes[0]
	first.State.SetCut(cut)
	first.Cloud.SetCut(cut)
	for _, other := range s.Nodes[1:] {
		first.Peers[other.Name].SetCut(cut)
		other.Peers[first.Name].SetCut(cut)
	}
}

func (s *scene) watchNetwork() {
	s.Fleet.Reaches = func(host *stand.Host, node int) bool {
		return !s.cut.Load() || node >= 0 && s.Nodes[node].Zone == host.Yard
	}
	s.Fleet.OnToken = func(host *stand.Host, baton uint64, node int) {
		if host.Yard == zoneB && baton > s.token.Load() {
			s.holder.Store(int64(node))
			s.token.Store(baton)
		}
	}
}

// start starts the controllers, node-0 in zone a first: it gets the shard.
func (s *scene) start() {
	for i, node := range s.Nodes {
		if err := node.Start(); err != nil {
			s.Fatal("%v", err)
		}
		if i == 0 {
			time.Sleep(2 * time.Second)
		}
	}
	if !s.WaitHealthy(15 * time.Second) {
		s.Fatal("the controllers are not healthy")
	}
}

// runJob submits a job and waits until all its tasks run, on machines of the zone that has capacity.
func (s *scene) runJob(job *stand.Job, zone string, machines int) {
	s.Cloud.SetCapacity(zone, machines)
	running := func() bool { _, _, running := s.Fleet.Count(job); return running == job.Pieces }
	if !s.User.Submit(s.Fleet, job) || !stand.Wait(25*time.Second, running) {
		s.Fatal("%s does not run", job.ID)
	}
	s.Cloud.SetCapacity(zone, 0)
}

// trouble cuts zone a off, and ends the controller that has taken over as soon as it has.
func (s *scene) trouble() {
	before := s.token.Load()
	s.Record.Printf("trouble: zone a is cut off, with node-0 and the machines of job-000001")
	s.setCut(true)
	time.AfterFunc(cutTime, func() { s.Record.Printf("zone a is back"); s.setCut(false) })
	if !stand.Wait(15*time.Second, func() bool { return s.token.Load() > before }) {
		s.Fatal("nobody took over")
	}
	second := s.Nodes[s.holder.Load()]
	s.Record.Printf("trouble: %s, which has taken over, ends and is back after %v", second.Name, restartDelay)
	second.Signal(syscall.SIGKILL)
	time.Sleep(restartDelay)
	if err := second.Start(); err != nil {
		s.Fatal("%v", err)
	}
	if os.Getenv("CLOUD") == "up" {
		return // the case without its third trouble: see claim.txt
	}
	s.Record.Printf("trouble: the cloud's interface is down")
	s.Cloud.SetDown(true)
	time.AfterFunc(cloudOutage, func() { s.Record.Printf("the cloud's interface is back"); s.Cloud.SetDown(false) })
}

func main() {
	deployment, err := stand.NewDeployment(os.Args[1], os.Args[2], stand.Exams(zoneA, zoneB))
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	s := &scene{Deployment: deployment}
	s.holder.Store(-1)
	s.watchNetwork()
	s.start()
	zone := zoneB
	long := newJob("job-000001", "ocenjevanje", 2, 7, nil)
	other := newJob("job-000002", "nadzor", 1, 2, &zone)
	s.runJob(long, zoneA, 2)
	s.runJob(other, zoneB, 1)
	time.Sleep(3 * time.Second)
	if s.holder.Load() != 0 {
		s.Fatal("the lease holder is not node-0")
	}
	if os.Getenv("TROUBLE") != "0" {
		s.trouble()
	}
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
		s.User.Poll(s.Nodes[1], long.ID)
		s.User.Poll(s.Nodes[2], long.ID)
	}
	code := 0
	s.Fleet.Locked(func() {
		for _, line := range s.Fleet.Doubles {
			code = 1
			fmt.Println("ran_twice:", line)
		}
	})
	s.Record.Printf("exit %d", code)
	s.Stop()
	os.Exit(code)
}
