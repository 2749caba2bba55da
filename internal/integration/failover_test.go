package integration

import "syscall"

// failoverAttempts is how often waitForLeaseHolder has the lease change hands: a controller that
// gets too little processor time may lose its lease in the midst of an attempt.
const failoverAttempts = 6

// waitForLeaseHolder waits until a given controller holds the shard's lease, restarting others, in
// their versions, that hold it instead.
func (u *upgradeTest) waitForLeaseHolder(wanted int) {
	u.t.Helper()
	for range failoverAttempts {
		holder := -1
		u.waitUntil("a lease holder", func() bool {
			holder = u.leaseHolderIndex()
			return holder >= 0
		})
		if holder == wanted {
			return
		}
		u.handOver(wanted)
	}
	u.t.Fatalf("controller %d never holds the shard's lease", wanted)
}

// handOver ends the lease holder while the wanted controller is the one that gets the lease.
// A leader prefers others to itself, and any other to the one that had the lease. So the
// wanted controller must not lead: it is restarted once somebody else does. If that is
// the holder, its end would leave open who leads next, and with that who gets the lease:
// then the wanted controller has to be the only one left.
func (u *upgradeTest) handOver(wanted int) {
	u.t.Helper()
	name := u.controllers[wanted].config.Member
	u.controllers[wanted].stop(syscall.SIGKILL)
	holder, leader := -1, -1
	var token, ended uint64
	u.waitUntil("another lease holder and another leader", func() bool {
		holder, leader = u.leaseHolderIndex(), u.leaderIndex()
		token, ended = u.currentToken(), u.incarnation(name)
		return holder >= 0 && holder != wanted && leader >= 0 && leader != wanted
	})
	u.t.Logf("controller %d holds the lease, %d leads, %d is to hold it", holder, leader, wanted)
	u.start(wanted)
	u.waitUntil("the wanted controller among the members", func() bool {
		now := u.incarnation(name)
		return now != 0 && now != ended
	})
	failedOver := func() bool { return u.currentToken() > token }
	if leader != holder {
		u.restart(holder, u.versions[holder])
		u.waitUntil("a failover", failedOver)
	} else {
		u.whileAlone(wanted, func() { u.waitUntil("a failover by the only one left", failedOver) })
	}
	u.sleep(stepInterval)
}

// whileAlone ends all controllers but one, does something, and starts them again.
func (u *upgradeTest) whileAlone(alone int, do func()) {
	u.t.Helper()
	for i, controller := range u.controllers {
		if i != alone {
			controller.stop(syscall.SIGKILL)
		}
	}
	do()
	for i := range u.controllers {
		if i != alone {
			u.start(i)
		}
	}
}
