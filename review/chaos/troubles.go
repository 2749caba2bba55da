package main

import (
	"fmt"
	"syscall"
	"time"

	"juniperchute/review/stand"
)

// reaches reports whether a machine and a controller reach each other.
func (p *play) reaches(host *stand.Host, node int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.cuts["zone"]) && (node < 0 || p.Nodes[node].Zone != host.Yard) {
		return false
	}
	return !now.Before(p.cuts[fmt.Sprintf("workers of %d", node)])
}

func (p *play) cut(what string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[what] = time.Now().Add(d)
}

// cutPeers cuts a controller off from the state service and the other controllers for a time.
func (p *play) cutPeers(index int, d time.Duration) {
	set := func(cut bool) {
		node := p.Nodes[index]
		node.State.SetCut(cut)
		for _, other := range p.Nodes {
			if other != node {
				node.Peers[other.Name].SetCut(cut)
				other.Peers[node.Name].SetCut(cut)
			}
		}
	}
	set(true)
	time.AfterFunc(d, func() { set(false) })
}

// trouble begins one random trouble.
func (p *play) trouble() {
	index := p.rng.IntN(len(p.Nodes))
	node := p.Nodes[index]
	short := time.Duration(500+p.rng.IntN(9000)) * time.Millisecond
	long := time.Duration(8000+p.rng.IntN(25000)) * time.Millisecond
	kind := p.rng.IntN(16)
	p.Record.Printf("trouble: kind %d at %s, %v or %v", kind, node.Name, short, long)
	switch kind {
	case 0, 1, 2:
		node.Signal(syscall.SIGKILL)
		time.Sleep([]time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}[p.rng.IntN(3)])
		p.drawVersion(node)
		_ = node.Start()
	case 3, 4:
		node.Signal(syscall.SIGSTOP)
		time.AfterFunc(short, func() { node.Signal(syscall.SIGCONT) })
	case 5:
		node.State.SetCut(true)
		time.AfterFunc(long, func() { node.State.SetCut(false) })
	case 6:
		p.cutPeers(index, long)
	case 7:
		p.cut(fmt.Sprintf("workers of %d", index), long)
	case 8:
		p.State.SetDown(true)
		time.AfterFunc(short, func() { p.State.SetDown(false) })
	case 9:
		p.State.SetLate(0.15, 0.1)
		time.AfterFunc(15*time.Second, func() { p.State.SetLate(0, 0) })
	case 10:
		p.Fleet.SetLate(0.3, 0.3)
		time.AfterFunc(15*time.Second, func() { p.Fleet.SetLate(0, 0) })
	case 11:
		p.Cloud.SetDown(true)
		time.AfterFunc(long, func() { p.Cloud.SetDown(false) })
	case 12:
		p.someMachines(func(_ string, w *stand.Worker) { w.Hang(short) })
	case 13:
		p.cut("zone", long)
		p.cutPeers(0, long)
		p.Nodes[0].Cloud.SetCut(true)
		time.AfterFunc(long, func() { p.Nodes[0].Cloud.SetCut(false) })
	default:
		p.someMachines(func(id string, w *stand.Worker) {
			w.Recall(time.Now().Add(8 * time.Second))
			time.AfterFunc(8*time.Second, func() { p.Cloud.Take(id) })
		})
	}
}

// someMachines calls a function for a third of the machines.
func (p *play) someMachines(call func(id string, w *stand.Worker)) {
	p.Fleet.Locked(func() {
		for id, w := range p.Fleet.Workers {
			if p.rng.IntN(3) == 0 {
				call(id, w)
			}
		}
	})
}
