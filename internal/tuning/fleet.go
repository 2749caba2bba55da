package tuning

import "time"

// Cloud API calls, used by packages cloud, fleet and controller.
const (
	// CloudTimeout bounds a call.
	CloudTimeout = 5 * time.Second
	// MaxCloudResponseBytes bounds a response body.
	MaxCloudResponseBytes = 4 << 20
	// CloudPageSize is the number of machines per page of a list, the largest that the cloud
	// allows.
	CloudPageSize = 500
	// CloudRateShare is the share of the cloud's rate limit that one lease holder uses.
	CloudRateShare = 0.9
	// CloudBackoffInitial is the backoff after a failed call. It grows with consecutive failures.
	CloudBackoffInitial = 1 * time.Second
	// CloudBackoffMax bounds the backoff, so that the end of an outage is detected soon.
	CloudBackoffMax = 3 * time.Second
	// CloudFailureLogInterval is the minimum time between two log lines about failing calls.
	CloudFailureLogInterval = 10 * time.Second
	// MaxCloudCallsInFlight bounds the concurrent calls of one controller.
	MaxCloudCallsInFlight = 4
	// MachineTypesInterval is the polling interval of machine types and their prices.
	MachineTypesInterval = 30 * time.Second
)

// Lists of the cloud's machines, used by package fleet.
const (
	// ListInterval is the minimum time between two lists of the machines. Lists of many pages are
	// further apart, to stay within ListRateShare.
	ListInterval = 5 * time.Second
	// ListRateShare bounds the share of the cloud's rate limit that lists use.
	ListRateShare = 0.3
	// MissedListsLimit is the number of consecutive lists that must omit a previously listed machine
	// before the machine counts as deleted. A list may be older than its predecessor.
	MissedListsLimit = 3
	// UnreconciledMissedListsLimit replaces MissedListsLimit for a machine that the lease holder
	// has not reconciled yet, as such a machine blocks other work. It exceeds 1, as a machine that
	// has just booted may not be listed yet.
	UnreconciledMissedListsLimit = 2
	// AdoptionLists is the number of lists that must include a machine without a record before the
	// machine is adopted. Deleted machines stay listed for a while.
	AdoptionLists = 4
)

// Scale-out, used by package fleet.
const (
	// ScaleOutInterval is the time between two comparisons of demand and capacity.
	ScaleOutInterval = 1 * time.Second
	// ScaleOutDelay is the time after a failover in which unreconciled machines block provisioning.
	// Most workers answer within a second of a failover; the machines of the others may be deleted.
	ScaleOutDelay = 10 * time.Second
	// ProvisioningRateShare is the share of the lease holder's call rate that provisioning
	// requests use.
	ProvisioningRateShare = 0.5
	// MaxMachinesPerRequest bounds the machines of one provisioning request.
	MaxMachinesPerRequest = 50
	// NoCapacityBackoff is the backoff for an offer after the cloud reported no capacity for it.
	NoCapacityBackoff = 10 * time.Second
	// ProvisioningRecordBytes is an upper bound of the size of a provisioning request's record
	// without its machine names.
	ProvisioningRecordBytes = 160
	// HostNameBytes is an upper bound of the size of a machine name in that record.
	HostNameBytes = 16
	// BootTimeoutFactor is the time after which a machine without a heartbeat is deleted, as a
	// multiple of the usual boot time of its type.
	BootTimeoutFactor = 3.0
)

// Scale-in, used by package fleet.
const (
	// MaxMachinesPerDeletion is the cloud API's limit on the machines of one deletion call.
	MaxMachinesPerDeletion = 100
	// MachineIdleTimeout is the default time after which an idle machine is deleted. Operators can
	// override it.
	MachineIdleTimeout = 6 * time.Second
	// LeaseExpiredTimeout is the time after which a machine with an expired worker lease is deleted.
	// Until then it costs as much as a machine that works.
	LeaseExpiredTimeout = 10 * time.Second
	// PreemptionGrace is added to the time in a preemption notice before the machine counts as
	// deleted.
	PreemptionGrace = 2 * time.Second
	// UnreconciledDeletionDelay is the time from a failover to the early deletion of the unreconciled
	// machines, if UnreconciledDeletionMinRatio allows it. Otherwise they are deleted when their worker
	// leases have expired. Running jobs are blocked until every machine is reconciled or deleted. Most
	// machines answer within a second.
	UnreconciledDeletionDelay = 4 * time.Second
	// UnreconciledDeletionMinRatio is the minimum ratio of all machines to unreconciled ones for an
	// early deletion of the latter.
	UnreconciledDeletionMinRatio = 100
)

// Intent log, used by packages intentlog and fleet.
const (
	// IntentWriteInterval is the minimum time between two writes of a page of the intent log. Intents
	// that arrive in this time are batched. Machines are deleted by tens at a time, and each waits for
	// its intent.
	IntentWriteInterval = 250 * time.Millisecond
	// MaxOpenIntents bounds the intents that are recorded and not completed. Further ones wait.
	MaxOpenIntents = 16000
	// LateCallWindow is the time within which the cloud may still execute a call that got no
	// response. A rejected provisioning request is retried under its own name until then.
	LateCallWindow = 3 * time.Minute
)
