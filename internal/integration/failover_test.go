package integration

import "syscall"

// failoverAttempts bounds the attempts of forceLeaseHolder to transfer the lease. An attempt fails
// if a controller short of CPU time loses its member lease meanwhile.
const failoverAttempts = 6

// forceLeaseHolder transfers the shard's lease until the wanted controller holds it. Controllers
// that it restarts keep their versions.
func (u *upgradeTest) forceLeaseHolder(wanted int) {
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
		u.transferLease(wanted)
	}
	u.t.Fatalf("controller %d does not hold the shard's lease after %d attempts", wanted, failoverAttempts)
}

// transferLease restarts the lease holder so that the wanted controller gets the lease. A leader
// prefers other members to itself, and any member to the previous holder, so the wanted
// controller must not lead: it is restarted once another controller leads. If the lease holder
// leads too, any controller may lead after its restart. In that case all other controllers are
// stopped until the failover to the wanted controller has ended.
func (u *upgradeTest) transferLease(wanted int) {
	u.t.Helper()
	name := u.controllers[wanted].config.Member
	u.controllers[wanted].stop(syscall.SIGKILL)
	holder, leader := -1, -1
	var token, oldIncarnation uint64
	u.waitUntil("another lease holder and another leader", func() bool {
		holder, leader = u.leaseHolderIndex(), u.leaderIndex()
		token, oldIncarnation = u.currentToken(), u.incarnation(name)
		return holder >= 0 && holder != wanted && leader >= 0 && leader != wanted
	})
	u.t.Logf("lease holder %d, leader %d, wanted lease holder %d", holder, leader, wanted)
	u.start(wanted)
	u.waitUntil("the wanted controller as a member", func() bool {
		incarnation := u.incarnation(name)
		return incarnation != 0 && incarnation != oldIncarnation
	})
	failedOver := func() bool { return u.currentToken() > token }
	if leader != holder {
		u.restart(holder, u.versions[holder])
		u.waitUntil("a failover", failedOver)
	} else {
		u.runWithOnly(wanted, func() { u.waitUntil("a failover to the only controller", failedOver) })
	}
	u.sleep(stepInterval)
}

// runWithOnly stops all controllers but one, calls do, and restarts them.
func (u *upgradeTest) runWithOnly(alone int, do func()) {
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
