package tuning

import "time"

// The fleet.
const (
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// MaxCloudResponseBytes bounds an answer of the cloud.
	MaxCloudResponseBytes = 4 << 20
	// CloudPageSize is how many machines one call lists, the cloud's largest page.
	CloudPageSize = 500
	// CloudRateShare is the part of the cloud's rate that one holder uses.
	CloudRateShare = 0.9
	// ProvisioningRateShare is the part of the holder's rate that rentals may take at a time.
	ProvisioningRateShare = 0.5
	// CloudRetryInitial is the pause after a failed call; it grows to CloudRetryMost
	// while calls fail in a row, which keeps an outage's end from being missed
	// for long.
	CloudRetryInitial     = 1 * time.Second
	CloudRetryMax = 3 * time.Second
	// CloudCallsInFlight is how many calls may be under way at once.
	CloudCallsInFlight = 4
	// MachineTypesInterval is how often prices are read.
	MachineTypesInterval = 30 * time.Second
	// ListInterval is how often the machines are listed, at most: lists of many pages come
	// less often, so that they take no more than ListShare of the cloud's rate.
	ListInterval = 5 * time.Second
	ListRateShare = 0.3
	// ScaleOutInterval is how often the demand is compared with the machines.
	ScaleOutInterval = 1 * time.Second
	// ScaleOutDelay is how long after a takeover nothing is rented while machines
	// are still unheard: most answer within a second, the rest may be gone.
	ScaleOutDelay = 10 * time.Second
	// FewUnreconciledTimeout is how long after a takeover machines that have not been heard are
	// returned if they are few, no more than one of FenceFewPart: whatever was
	// begun before waits until the last of them is heard or gone, and most answer
	// within a second.
	FewUnreconciledTimeout     = 4 * time.Second
	FewUnreconciledDivisor = 100
	// MaxMachinesPerRequest is the most machines asked for in one rental.
	MaxMachinesPerRequest = 50
	// NoCapacityPause is the pause after the cloud had none of a kind.
	NoCapacityPause = 10 * time.Second
	// ProvisioningRecordBytes is what a rental request's record takes without its machines, and
	// HostBytes what each of their names does, both with room to spare.
	ProvisioningRecordBytes = 160
	HostNameBytes   = 16
	// MaxMachinesPerDeletion is the most machines in one deletion, by the protocol.
	MaxMachinesPerDeletion = 100
	// BootTimeoutFactor is after how many times its usual boot time a machine that
	// has not reported is given up.
	BootTimeoutFactor = 3.0
	// MissedListsLimit is from how many lists in a row a machine that was listed
	// must be missing to be taken for gone: a list may be older than the one
	// before.
	MissedListsLimit = 3
	// UnreconciledMissedListsLimit is the same for a machine that a takeover waits for: its end
	// makes sure of what everything else waits to know. Two, as one that has
	// just come up may not be listed yet.
	UnreconciledMissedListsLimit = 2
	// AdoptionLists is in how many lists a machine nobody knows must be
	// before it is adopted: deleted machines stay listed for a while.
	AdoptionLists = 4
	// PreemptionGrace is how long after a recall the machine surely is gone.
	PreemptionGrace = 2 * time.Second
	// LeaseExpiredTimeout is how long a machine whose lease is over may stay silent
	// before it is returned: it costs as much as one that works.
	LeaseExpiredTimeout = 10 * time.Second
	// MachineIdleTimeout is how long a machine without work is kept.
	MachineIdleTimeout = 6 * time.Second
	// DefaultObjective stands for a class's aim when the settings have none.
	DefaultObjective = 300 * time.Second
	// BacklogObjectiveShare is the part of a class's aim that its waiting work may
	// take on the machines there are before more are rented.
	BacklogObjectiveShare = 0.1
	// MinRunTime is the least run time assumed of a task.
	MinRunTime = 10 * time.Second
	// NegligibleBacklog is the waiting work, in tasks, not worth another machine.
	NegligibleBacklog = 0.5
)

// Duties.
const (
	// IntentWriteInterval is how often a page of the log of duties is written: machines are
	// returned by tens at a time, and each waits for its entry.
	IntentWriteInterval = 250 * time.Millisecond
	// MaxOpenIntents is how many actions may be entered and not settled. It is four times
	// the largest fleet measured; further ones wait for room.
	MaxOpenIntents = 16000
	// LateCallWindow is how long a call that nobody answered is expected to come late: until
	// then a rental that was refused meanwhile is asked for again by its name.
	LateCallWindow = 3 * time.Minute
	// MaxIntentsShown bounds the entries of one duty in an answer to an operator.
	MaxIntentsShown = 50
)
