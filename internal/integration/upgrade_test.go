package integration

import (
	"syscall"
	"testing"
	"time"
)

// oldVersion is an earlier version that is upgraded to the current one.
type oldVersion struct {
	name   string
	commit string

	// writesLargeValues is set if the version ignores the upcoming limits and writes larger values.
	writesLargeValues bool

	// Whether the intent log is enabled in the old and in the new version.
	oldHasIntentLog bool
	newHasIntentLog bool
}

// oldVersions returns the versions from which every scenario starts.
func oldVersions(t *testing.T) []oldVersion {
	return []oldVersion{
		{
			name:              "production",
			commit:            productionCommit(t),
			writesLargeValues: true,
			newHasIntentLog:   true,
		},
		{
			name:   "predecessor",
			commit: predecessorCommit,
		},
		{
			name:            "before the rename",
			commit:          preRenameCommit,
			oldHasIntentLog: true,
			newHasIntentLog: true,
		},
	}
}

// upgradeScenario is a sequence of steps from the old version to the new one.
type upgradeScenario struct {
	name string
	run  func(u *upgradeTest)
}

var upgradeScenarios = []upgradeScenario{
	{
		name: "rolling upgrade",
		run:  func(u *upgradeTest) { u.rollOut(u.newProgram) },
	},
	{
		name: "rollback halfway, then a second rolling upgrade",
		run: func(u *upgradeTest) {
			u.restartAndWait(0, u.newProgram)
			u.restartAndWait(1, u.newProgram)
			u.restartAndWait(1, u.oldProgram)
			u.restartAndWait(0, u.oldProgram)
			u.rollOut(u.newProgram)
		},
	},
	{
		name: "failover from new to old and from old to new",
		run: func(u *upgradeTest) {
			u.restart(0, u.newProgram)
			u.forceLeaseHolder(0)
			u.sleep(stepInterval)
			u.controllers[0].stop(syscall.SIGKILL)
			u.waitUntil("an old lease holder", func() bool { return u.leaseHolderIndex() > 0 })
			u.sleep(stepInterval)
			u.start(0)
			u.sleep(stepInterval)
			u.forceLeaseHolder(0)
			u.rollOut(u.newProgram)
		},
	},
	{
		name: "restart in the old version among upgraded controllers",
		run: func(u *upgradeTest) {
			u.restart(0, u.newProgram)
			u.restartAndWait(1, u.newProgram)
			u.restartAndWait(2, u.oldProgram)
			u.restartAndWait(2, u.newProgram)
		},
	},
	{
		name: "state service outage during a rolling upgrade",
		run: func(u *upgradeTest) {
			u.restart(0, u.newProgram)
			u.sleep(time.Second)
			u.withLock(func() { u.store.SetUnavailable(true) })
			u.restart(1, u.newProgram)
			u.sleep(5 * time.Second)
			u.withLock(func() { u.store.SetUnavailable(false) })
			u.sleep(stepInterval)
			u.restartAndWait(2, u.newProgram)
		},
	},
	{
		name: "lowered limits right after the rolling upgrade",
		run: func(u *upgradeTest) {
			u.rollOut(u.newProgram)
			u.lowerLimits()
		},
	},
	{
		name: "lowered limits during the failover from the last old lease holder",
		run: func(u *upgradeTest) {
			u.forceLeaseHolder(2)
			u.restart(0, u.newProgram)
			u.restartAndWait(1, u.newProgram)
			u.forceLeaseHolder(2)
			u.controllers[2].stop(syscall.SIGKILL)
			u.lowerLimits()
			u.versions[2] = u.newProgram
			u.start(2)
		},
	},
	{
		name: "open intents at the failovers from old to new and from new to old",
		run: func(u *upgradeTest) {
			u.restart(0, u.newProgram)
			u.restartAndWait(1, u.newProgram)
			u.forceLeaseHolder(2)
			u.failOverWithOpenIntents()
			u.start(2)
			u.restartAndWait(1, u.oldProgram)
			u.forceLeaseHolder(0)
			u.failOverWithOpenIntents()
			u.start(0)
			u.sleep(stepInterval)
			u.rollOut(u.newProgram)
		},
	},
}

// TestUpgrade guards against violations of the protocol while three controllers of an earlier version
// are upgraded to the current one under load.
func TestUpgrade(t *testing.T) {
	for _, from := range oldVersions(t) {
		for _, scenario := range upgradeScenarios {
			t.Run(from.name+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				u := newUpgradeTest(t, from)
				scenario.run(u)
				u.exerciseServices()
				u.finish()
			})
		}
	}
}
