package integration

import (
	"encoding/json"
	"syscall"
)

// takeoverAttempts is how often leads has the block change hands: a controller that gets
// too little processor time may lose its lease in the midst of an attempt.
const takeoverAttempts = 6

// incarnation is the lease of the process that is a member for a controller, 0 if there
// is none; the lock is held.
func (r *rollout) incarnation(member string) uint64 {
	var record struct{ Inc uint64 }
	_ = json.Unmarshal(r.state.Keys["c/m/"+member].Value, &record)
	return record.Inc
}

// controller finds the controller of a process that is a member, -1 if the process is
// none or none any more; the lock is held.
func (r *rollout) controller(member string, incarnation uint64) int {
	if incarnation == 0 || r.incarnation(member) != incarnation {
		return -1
	}
	return r.NodeIndex(member)
}

// holder is the controller that holds the block, -1 if none does; the lock is held. The
// record outlives the process that it names.
func (r *rollout) holder() int {
	var record struct {
		Holder string
		Inc    uint64
	}
	_ = json.Unmarshal(r.state.Keys["c/b/0"].Value, &record)
	return r.controller(record.Holder, record.Inc)
}

// leader is the controller that leads, -1 if none does; the lock is held.
func (r *rollout) leader() int {
	var record struct {
		Member string
		Inc    uint64
	}
	_ = json.Unmarshal(r.state.Keys["c/leader"].Value, &record)
	return r.controller(record.Member, record.Inc)
}

// leads waits until a given controller holds the block, restarting others, in their
// versions, that hold it instead.
func (r *rollout) leads(want int) {
	r.t.Helper()
	for range takeoverAttempts {
		holder := -1
		r.until("a holder", func() bool { holder = r.holder(); return holder >= 0 })
		if holder == want {
			return
		}
		r.handOver(want)
	}
	r.t.Fatalf("controller %d never holds the block", want)
}

// handOver ends the holder while the wanted controller is the one that gets the block.
// A leader prefers others to itself, and any other to the one that had the block. So the
// wanted controller must not lead: it is restarted once somebody else does. If that is
// the holder, its end would leave open who leads next, and with that who gets the block:
// then the wanted controller has to be the only one left.
func (r *rollout) handOver(want int) {
	r.t.Helper()
	name := r.nodes[want].cfg.Member
	r.nodes[want].end(syscall.SIGKILL)
	holder, leader := -1, -1
	var token, ended uint64
	r.until("another holder and another leader", func() bool {
		holder, leader = r.holder(), r.leader()
		token, ended = r.currentToken(), r.incarnation(name)
		return holder >= 0 && holder != want && leader >= 0 && leader != want
	})
	r.t.Logf("controller %d holds the block, %d leads, %d is to hold it", holder, leader, want)
	r.run(want)
	r.until("the wanted controller among the members", func() bool {
		now := r.incarnation(name)
		return now != 0 && now != ended
	})
	takenOver := func() bool { return r.currentToken() > token }
	if leader != holder {
		r.restart(holder, r.version[holder])
		r.until("a takeover", takenOver)
	} else {
		r.whileAlone(want, func() { r.until("a takeover by the only one left", takenOver) })
	}
	r.sleep(betweenSteps)
}

// whileAlone ends all controllers but one, does something, and starts them again.
func (r *rollout) whileAlone(alone int, do func()) {
	r.t.Helper()
	for i, node := range r.nodes {
		if i != alone {
			node.end(syscall.SIGKILL)
		}
	}
	do()
	for i := range r.nodes {
		if i != alone {
			r.run(i)
		}
	}
}
