package integration

import (
	"maps"
	"slices"
	"strings"
	"syscall"

	"juniperchute/internal/cloud"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
)

// failOverWithOpenIntents kills the lease holder while the cloud has received one of its calls and not
// executed it yet, and waits until the next lease holder has called the cloud for each intent that was open
// then, under its own name, or has completed it. The cloud executes the delayed call after the failover. A
// request that the cloud refuses for lack of capacity stays recorded until no late call can be executed.
func (u *upgradeTest) failOverWithOpenIntents() {
	u.t.Helper()
	held := u.gate.hold(beforeCall, u.executesIntent)
	if !held.wait(waitTimeout) {
		u.logDiagnostics()
		u.t.Fatal("no call that executes an intent")
	}
	holder, token, open := -1, uint64(0), []string(nil)
	u.withLock(func() { holder, token, open = u.leaseHolderIndex(), u.currentToken(), u.openIntents() })
	if holder < 0 || len(open) == 0 {
		u.logDiagnostics()
		u.t.Fatalf("lease holder %d, open intents %v; want both", holder, open)
	}
	u.controllers[holder].stop(syscall.SIGKILL)
	var calls map[string]int // of the killed lease holder
	u.withLock(func() { calls = maps.Clone(u.cloudCalls) })
	u.waitUntil("the failover with open intents", func() bool { return u.currentToken() > token })
	held.release()
	u.t.Logf("controller %d was killed with open intents %v", holder, open)
	u.waitUntil("calls for the open intents by the next lease holder", func() bool {
		stillOpen := u.openIntents()
		return !slices.ContainsFunc(open, func(target string) bool {
			return u.cloudCalls[target] == calls[target] && slices.Contains(stillOpen, target)
		})
	})
}

// executesIntent matches calls to the cloud that execute a recorded intent. Versions without the intent log
// record provisioning requests only.
func (u *upgradeTest) executesIntent(call any) bool {
	sent, ok := call.(cloud.Call)
	if !ok {
		return false
	}
	return sent.Operation == cloud.CreateMachines || u.from.oldHasIntentLog && sent.Operation == cloud.DeleteMachines
}

// openIntents returns the names of the provisioning requests without an outcome and the targets in the
// intent log; the lock must be held.
func (d *deployment) openIntents() (targets []string) {
	for _, key := range slices.Sorted(maps.Keys(d.store.Keys)) {
		item := d.store.Keys[key]
		switch {
		case strings.HasPrefix(key, fleet.ProvisioningPrefix):
			if name, _, pending := fleet.PendingRequest(item, 0); pending {
				targets = append(targets, name)
			}
		case strings.HasPrefix(key, intentlog.Prefix):
			entries, err := intentlog.ReadPage(item.Value)
			if err != nil {
				d.tb.Error(err)
			}
			for _, entry := range entries {
				targets = append(targets, entry.Target)
			}
		}
	}
	return targets
}
