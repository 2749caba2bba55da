// Command swarm is an experiment: one job of many small tasks.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"juniperchute/review/stand"
)

func main() {
	d, err := stand.NewDeployment(os.Args[1], os.Args[2], stand.Dispatch("zonaheredia"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	shape := os.Args[3]
	pieces, _ := strconv.Atoi(os.Args[4])
	vcpus, _ := strconv.ParseFloat(os.Args[5], 64)
	run, _ := strconv.ParseFloat(os.Args[6], 64)
	lose := len(os.Args) > 7 && os.Args[7] == "lose"
	d.Fleet.LogTasks = false
	d.Cloud.SetCapacity("zonaheredia", 30)
	for _, node := range d.Nodes {
		if err := node.Start(); err != nil {
			d.Fatal("%v", err)
		}
	}
	if !d.WaitHealthy(15 * time.Second) {
		d.Fatal("not healthy")
	}
	job := &stand.Job{Id: "job-000001", Lane: "enjambreguias", Crew: "invitadosucr", Shape: shape, Rank: "low",
		Pieces: pieces, Vcpus: vcpus, MemGb: vcpus * 4, Bundle: "img-1", ImageGb: 0.5, GuessS: run,
		RunTime: time.Duration(run * float64(time.Second))}
	fmt.Println("accepted:", d.User.Submit(d.Fleet, job))
	other := &stand.Job{Id: "job-000002", Lane: "repasotrafico", Crew: "modeladores", Shape: "batch", Rank: "normal",
		Pieces: 4, Vcpus: 6, Gpus: 1, MemGb: 36, Bundle: "img-2", ImageGb: 0.5, GuessS: 20, RunTime: 20 * time.Second}
	time.Sleep(5 * time.Second)
	fmt.Println("accepted:", d.User.Submit(d.Fleet, other))
	lost := false
	for i := range 20 {
		time.Sleep(4 * time.Second)
		done, present, running := d.Fleet.Count(job)
		odone, opresent, orunning := d.Fleet.Count(other)
		var line, victim string
		d.Fleet.Locked(func() {
			line = fmt.Sprintf("machines %d lapsed %d killed %d oversize %d refused %v", len(d.Fleet.Workers), d.Fleet.Lapsed,
				d.Fleet.Killed, d.Fleet.Oversize, d.Fleet.Refused)
			for id := range d.Fleet.Workers {
				victim = max(victim, id)
			}
		})
		var as []string
		for _, n := range d.Nodes {
			as = append(as, fmt.Sprint(d.User.Poll(n, job.Id)))
		}
		fmt.Println(i*4, done, present, running, "other", odone, opresent, orunning, line, strings.Join(as, " "), d.State.Refused)
		if lose && !lost && running == pieces {
			lost = true
			fmt.Println("machine lost", victim)
			d.Fleet.Drop(victim)
		}
	}
	for _, n := range d.Nodes {
		os.WriteFile(os.Args[2]+"."+n.Name, []byte(n.Log()), 0o644)
	}
	d.Stop()
}
