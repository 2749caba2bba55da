package integration

import (
	"syscall"
	"testing"
	"time"
)

// oldVersion is a version that is upgraded to the present one.
type oldVersion struct {
	name   string
	commit string

	// writesLargeValues: it fills values up to the present limit, also beyond the limit to come.
	writesLargeValues bool

	// Which of the two versions have the intent log switched on.
	oldHasIntentLog bool
	newHasIntentLog bool
}

// oldVersions are the versions that every scenario is played from.
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
			name:            "before the renaming",
			commit:          unrenamedCommit,
			oldHasIntentLog: true,
			newHasIntentLog: true,
		},
	}
}

// upgradeScenario is a way from the old version to the new one.
type upgradeScenario struct {
	name string
	play func(u *upgradeTest)
}

var upgradeScenarios = []upgradeScenario{
	{
		name: "one after the other",
		play: func(u *upgradeTest) { u.roll(u.new) },
	},
	{
		name: "a rollback half-way, and a second roll",
		play: func(u *upgradeTest) {
			u.step(0, u.new)
			u.step(1, u.new)
			u.step(1, u.old)
			u.step(0, u.old)
			u.roll(u.new)
		},
	},
	{
		name: "an old process takes over from a new one, and a new one from an old one",
		play: func(u *upgradeTest) {
			u.restart(0, u.new)
			u.waitForLeaseHolder(0)
			u.sleep(stepInterval)
			u.controllers[0].stop(syscall.SIGKILL)
			u.waitUntil("an old lease holder", func() bool { return u.leaseHolderIndex() > 0 })
			u.sleep(stepInterval)
			u.start(0)
			u.sleep(stepInterval)
			u.waitForLeaseHolder(0)
			u.roll(u.new)
		},
	},
	{
		name: "an old process comes back old among new ones",
		play: func(u *upgradeTest) {
			u.restart(0, u.new)
			u.step(1, u.new)
			u.step(2, u.old)
			u.step(2, u.new)
		},
	},
	{
		name: "the state service is away during the roll",
		play: func(u *upgradeTest) {
			u.restart(0, u.new)
			u.sleep(time.Second)
			u.withLock(func() { u.store.SetUnavailable(true) })
			u.restart(1, u.new)
			u.sleep(5 * time.Second)
			u.withLock(func() { u.store.SetUnavailable(false) })
			u.sleep(stepInterval)
			u.step(2, u.new)
		},
	},
	{
		name: "the limits fall right after the last process is new",
		play: func(u *upgradeTest) {
			u.roll(u.new)
			u.lowerLimits()
		},
	},
	{
		name: "the limits fall in the failover that the last process's end brings",
		play: func(u *upgradeTest) {
			u.waitForLeaseHolder(2)
			u.restart(0, u.new)
			u.step(1, u.new)
			u.waitForLeaseHolder(2)
			u.controllers[2].stop(syscall.SIGKILL)
			u.lowerLimits()
			u.versions[2] = u.new
			u.start(2)
		},
	},
}

// TestUpgrade gives three controllers of real earlier versions the present one, under load, and
// checks the protocol's rules by what the fakes saw.
func TestUpgrade(t *testing.T) {
	for _, from := range oldVersions(t) {
		for _, scenario := range upgradeScenarios {
			t.Run(from.name+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				u := newUpgradeTest(t, from)
				scenario.play(u)
				u.useServices()
				u.finish()
			})
		}
	}
}
