package integration

import (
	"encoding/json"
	"syscall"
)

// failoverAttempts is how often leads has the block change hands: a controller that gets
// too little processor time may lose its lease in the midst of an attempt.
const failoverAttempts = 6

// incarnation is the lease of the process that is a member for a controller, 0 if there
// is none; the lock is held.
func (u *upgradeTest) incarnation(member string) uint64 {
	var record struct{ Inc uint64 }
	_ = json.Unmarshal(u.store.Keys["c/m/"+member].Value, &record)
	return record.Inc
}

// controller finds the controller of a process that is a member, -1 if the process is
// none or none any more; the lock is held.
func (u *upgradeTest) controller(member string, incarnation uint64) int {
	if incarnation == 0 || u.incarnation(member) != incarnation {
		return -1
	}
	return u.NodeIndex(member)
}

// leaseHolderIndex is the controller that holds the block, -1 if none does; the lock is held. The
// record outlives the process that it names.
func (u *upgradeTest) leaseHolderIndex() int {
	var record struct {
		Holder string
		Inc    uint64
	}
	_ = json.Unmarshal(u.store.Keys["c/b/0"].Value, &record)
	return u.controller(record.Holder, record.Inc)
}

// leaderIndex is the controller that leads, -1 if none does; the lock is held.
func (u *upgradeTest) leaderIndex() int {
	var record struct {
		Member string
		Inc    uint64
	}
	_ = json.Unmarshal(u.store.Keys["c/leader"].Value, &record)
	return u.controller(record.Member, record.Inc)
}

// waitForLeaseHolder waits until a given controller holds the block, restarting others, in their
// versions, that hold it instead.
func (u *upgradeTest) waitForLeaseHolder(want int) {
	u.t.Helper()
	for range failoverAttempts {
		holder := -1
		u.waitUntil("a holder", func() bool { holder = u.leaseHolderIndex(); return holder >= 0 })
		if holder == want {
			return
		}
		u.handOver(want)
	}
	u.t.Fatalf("controller %d never holds the block", want)
}

// handOver ends the holder while the wanted controller is the one that gets the block.
// A leader prefers others to itself, and any other to the one that had the block. So the
// wanted controller must not lead: it is restarted once somebody else does. If that is
// the holder, its end would leave open who leads next, and with that who gets the block:
// then the wanted controller has to be the only one left.
func (u *upgradeTest) handOver(want int) {
	u.t.Helper()
	name := u.controllers[want].config.Member
	u.controllers[want].stop(syscall.SIGKILL)
	holder, leader := -1, -1
	var token, ended uint64
	u.waitUntil("another holder and another leader", func() bool {
		holder, leader = u.leaseHolderIndex(), u.leaderIndex()
		token, ended = u.currentToken(), u.incarnation(name)
		return holder >= 0 && holder != want && leader >= 0 && leader != want
	})
	u.t.Logf("controller %d holds the block, %d leads, %d is to hold it", holder, leader, want)
	u.start(want)
	u.waitUntil("the wanted controller among the members", func() bool {
		now := u.incarnation(name)
		return now != 0 && now != ended
	})
	failedOver := func() bool { return u.currentToken() > token }
	if leader != holder {
		u.restart(holder, u.versions[holder])
		u.waitUntil("a failover", failedOver)
	} else {
		u.whileAlone(want, func() { u.waitUntil("a failover by the only one left", failedOver) })
	}
	u.sleep(stepInterval)
}

// whileAlone ends all controllers but one, does something, and starts them again.
func (u *upgradeTest) whileAlone(alone int, do func()) {
	u.t.Helper()
	for i, node := range u.controllers {
		if i != alone {
			node.stop(syscall.SIGKILL)
		}
	}
	do()
	for i := range u.controllers {
		if i != alone {
			u.start(i)
		}
	}
}
