// Command twin is a case of the review: a chain of two takeovers while a zone is cut off with the first lease
// holder.
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
	longRun      = 300 * time.Second
)

func job(id, team string, pieces int, vcpus float64, yard string) *stand.Job {
	j := &stand.Job{Id: id, Lane: "essaysweep", Crew: team, Shape: "batch", Rank: "normal", Pieces: pieces,
		Vcpus: vcpus, Gpus: 1, MemGb: 30, Bundle: "img-" + id, ImageGb: 0.15, GuessS: 300, RunTime: longRun}
	if yard != "" {
		j.Yard = &yard
	}
	return j
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	cloudDown := os.Getenv("CLOUD") != "up"
	d, err := stand.NewDeployment(os.Args[1], os.Args[2], stand.Exams(zoneA, zoneB))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	var cut atomic.Bool
	var newest atomic.Int64 // the controller that gave the newest token in zone b, plus one
	var token atomic.Uint64
	d.Fleet.Reaches = func(host *stand.Host, node int) bool {
		return !cut.Load() || node >= 0 && d.Nodes[node].Zone == host.Yard
	}
	d.Fleet.OnToken = func(host *stand.Host, baton uint64, node int) {
		if host.Yard == zoneB && baton > token.Load() {
			token.Store(baton)
			newest.Store(int64(node) + 1)
		}
	}
	// The first controller gets the shard.
	if err := d.Nodes[0].Start(); err != nil {
		d.Fatal("%v", err)
	}
	time.Sleep(2 * time.Second)
	for _, node := range d.Nodes[1:] {
		if err := node.Start(); err != nil {
			d.Fatal("%v", err)
		}
	}
	if !d.WaitHealthy(15 * time.Second) {
		d.Fatal("not healthy")
	}
	d.Cloud.SetCapacity(zoneA, 2)
	long := job("job-000001", "ocenjevanje", 2, 7, "")
	if !d.User.Submit(d.Fleet, long) {
		d.Fatal("job not accepted")
	}
	running := func(j *stand.Job, n int) func() bool {
		return func() bool { _, _, running := d.Fleet.Count(j); return running == n }
	}
	if !stand.Wait(25*time.Second, running(long, 2)) {
		d.Fatal("the job does not run")
	}
	d.Cloud.SetCapacity(zoneA, 0)
	d.Cloud.SetCapacity(zoneB, 2)
	filler := job("job-000002", "nadzor", 1, 2, zoneB)
	if !d.User.Submit(d.Fleet, filler) || !stand.Wait(25*time.Second, running(filler, 1)) {
		d.Fatal("the filler does not run")
	}
	time.Sleep(3 * time.Second)
	first := newest.Load() - 1
	if first != 0 {
		d.Fatal("the lease holder is node %d, not node 0", first)
	}
	if trouble {
		before := token.Load()
		d.Record.Printf("trouble: zone a, with node-0 and the machines of job-000001, is cut off")
		cut.Store(true)
		setCut(d, true)
		if !stand.Wait(15*time.Second, func() bool { return token.Load() > before }) {
			d.Fatal("nobody took over")
		}
		second := d.Nodes[newest.Load()-1]
		d.Record.Printf("trouble: %s, which has taken over, ends and is back at once", second.Name)
		second.Signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := second.Start(); err != nil {
			d.Fatal("%v", err)
		}
		if cloudDown {
			d.Record.Printf("trouble: the cloud's interface is down")
			d.Cloud.SetDown(true)
			time.AfterFunc(20*time.Second, func() { d.Cloud.SetDown(false); d.Record.Printf("the cloud's interface is back") })
		}
	}
	end := time.Now().Add(35 * time.Second)
	for time.Now().Before(end) {
		d.User.Poll(d.Nodes[1], long.Id)
		d.User.Poll(d.Nodes[2], long.Id)
		time.Sleep(5 * time.Second)
	}
	code := 0
	d.Fleet.Locked(func() {
		if len(d.Fleet.Doubles) > 0 {
			code = 1
			fmt.Println("ran_twice:", d.Fleet.Doubles[0])
		}
	})
	d.Record.Printf("exit %d", code)
	d.Stop()
	os.Exit(code)
}

// setCut cuts what connects zone a's controller with the others, the state service and the cloud.
func setCut(d *stand.Deployment, cut bool) {
	first := d.Nodes[0]
	first.State.SetCut(cut)
	first.Cloud.SetCut(cut)
	for _, other := range d.Nodes[1:] {
		first.Peers[other.Name].SetCut(cut)
		other.Peers[first.Name].SetCut(cut)
	}
}
