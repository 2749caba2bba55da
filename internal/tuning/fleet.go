package tuning

import "time"

// Calls of the cloud, used by packages cloud, fleet and controller.
const (
	// CloudTimeout bounds a call.
	CloudTimeout = 5 * time.Second
	// MaxCloudResponseBytes bounds a response.
	MaxCloudResponseBytes = 4 << 20
	// CloudPageSize is how many machines one call lists, the cloud's largest page.
	CloudPageSize = 500
	// CloudRateShare is the part of the cloud's rate that one shard's owner uses.
	CloudRateShare = 0.9
	// CloudBackoffInitial is the pause after a failed call. It grows while calls fail in a row.
	CloudBackoffInitial = 1 * time.Second
	// CloudBackoffMax bounds the growth of CloudBackoffInitial: a longer pause would miss the end of
	// an outage for long.
	CloudBackoffMax = 3 * time.Second
	// CloudCallsInFlight is how many calls may be in flight.
	CloudCallsInFlight = 4
	// MachineTypesInterval is how often machine types and their prices are read.
	MachineTypesInterval = 30 * time.Second
)

// Lists of the cloud's machines, used by package fleet.
const (
	// ListInterval is the least time between two lists of the machines. Lists of many pages are
	// further apart, so that they take no more than ListRateShare of the cloud's rate.
	ListInterval = 5 * time.Second
	// ListRateShare is the part of the cloud's rate that lists take at most.
	ListRateShare = 0.3
	// MissedListsLimit is in how many lists in a row a listed machine must be missing to be
	// taken for deleted: a list may be older than the one before.
	MissedListsLimit = 3
	// UnreconciledMissedListsLimit is the same for a machine for which a new owner waits: its
	// deletion settles what everything else waits to know. It is two, as a machine that has
	// just booted may not be listed yet.
	UnreconciledMissedListsLimit = 2
	// AdoptionLists is in how many lists a machine without a record must be before it is
	// adopted: deleted machines stay listed for a while.
	AdoptionLists = 4
)

// Scaling out, used by package fleet.
const (
	// ScaleOutInterval is how often the demand is compared with the machines.
	ScaleOutInterval = 1 * time.Second
	// ScaleOutDelay is how long after a failover nothing is provisioned while machines are
	// unreconciled: most answer within a second, the rest may be deleted.
	ScaleOutDelay = 10 * time.Second
	// ProvisioningRateShare is the part of the owner's rate of calls that provisioning requests
	// may take at a time.
	ProvisioningRateShare = 0.5
	// MaxMachinesPerRequest is the most machines in one provisioning request.
	MaxMachinesPerRequest = 50
	// NoCapacityBackoff is the pause after the cloud had no capacity of a kind.
	NoCapacityBackoff = 10 * time.Second
	// ProvisioningRecordBytes is what the record of a provisioning request takes without its
	// machines, rounded up.
	ProvisioningRecordBytes = 160
	// HostNameBytes is what each machine's name takes of that record, rounded up.
	HostNameBytes = 16
	// BootTimeoutFactor is after how many times its usual boot time a machine that has sent no
	// heartbeat is given up.
	BootTimeoutFactor = 3.0
)

// Scaling in, used by package fleet.
const (
	// MaxMachinesPerDeletion is the most machines in one deletion, by the protocol.
	MaxMachinesPerDeletion = 100
	// MachineIdleTimeout is how long a machine without work is kept, unless operators have set
	// another time.
	MachineIdleTimeout = 6 * time.Second
	// LeaseExpiredTimeout is how long a machine whose lease has expired may stay unresponsive
	// before it is deleted: it costs as much as one that works.
	LeaseExpiredTimeout = 10 * time.Second
	// PreemptionGrace is how long after the time in a preemption notice the machine is surely
	// deleted.
	PreemptionGrace = 2 * time.Second
	// FewUnreconciledTimeout is how long after a failover unreconciled machines are deleted if
	// they are few, no more than one of FewUnreconciledDivisor: jobs that were started before
	// wait until the last of them has answered or is deleted, and most answer within a second.
	FewUnreconciledTimeout = 4 * time.Second
	// FewUnreconciledDivisor is the number of machines of which one may be unreconciled for
	// that to be few.
	FewUnreconciledDivisor = 100
)

// The intent log, used by packages intentlog and fleet.
const (
	// IntentWriteInterval is how often a page of the intent log is written: machines are
	// deleted by tens at a time, and each waits for its entry.
	IntentWriteInterval = 250 * time.Millisecond
	// MaxOpenIntents is how many intents may be recorded and not completed. It is four times
	// the largest fleet measured; further ones wait.
	MaxOpenIntents = 16000
	// LateCallWindow is how long a call without a response may still be executed: until then a
	// provisioning request that was refused meanwhile is repeated under its own name.
	LateCallWindow = 3 * time.Minute
)
