package tuning

import "time"

// The fleet.
const (
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CloudAnswerBytes bounds an answer of the cloud.
	CloudAnswerBytes = 4 << 20
	// CloudPage is how many machines one call lists, the cloud's largest page.
	CloudPage = 500
	// CloudShare is the part of the cloud's rate that one holder uses.
	CloudShare = 0.9
	// RentalShare is the part of the holder's rate that rentals may take at a time.
	RentalShare = 0.5
	// CloudRetry is the pause after a failed call; it grows to CloudRetryMost
	// while calls fail in a row, which keeps an outage's end from being missed
	// for long.
	CloudRetry     = 1 * time.Second
	CloudRetryMost = 3 * time.Second
	// CloudCalls is how many calls may be under way at once.
	CloudCalls = 4
	// MachineTypesEvery is how often prices are read.
	MachineTypesEvery = 30 * time.Second
	// ListEvery is how often the machines are listed, at most: lists of many pages come
	// less often, so that they take no more than ListShare of the cloud's rate.
	ListEvery = 5 * time.Second
	ListShare = 0.3
	// DemandEvery is how often the demand is compared with the machines.
	DemandEvery = 1 * time.Second
	// FenceDemand is how long after a takeover nothing is rented while machines
	// are still unheard: most answer within a second, the rest may be gone.
	FenceDemand = 10 * time.Second
	// FenceFew is how long after a takeover machines that have not been heard are
	// returned if they are few, no more than one of FenceFewPart: whatever was
	// begun before waits until the last of them is heard or gone, and most answer
	// within a second.
	FenceFew     = 4 * time.Second
	FenceFewPart = 100
	// RentalPage is the most machines asked for in one rental.
	RentalPage = 50
	// CapacityRetry is the pause after the cloud had none of a kind.
	CapacityRetry = 10 * time.Second
	// RentalBytes is what a rental request's record takes without its machines, and
	// HostBytes what each of their names does, both with room to spare.
	RentalBytes = 160
	HostBytes   = 16
	// DeletePage is the most machines in one deletion, by the protocol.
	DeletePage = 100
	// StuckBoots is after how many times its usual boot time a machine that
	// has not reported is given up.
	StuckBoots = 3.0
	// MissingLists is from how many lists in a row a machine that was listed
	// must be missing to be taken for gone: a list may be older than the one
	// before.
	MissingLists = 3
	// UnheardLists is the same for a machine that a takeover waits for: its end
	// makes sure of what everything else waits to know. Two, as one that has
	// just come up may not be listed yet.
	UnheardLists = 2
	// UnexpectedLists is in how many lists a machine nobody knows must be
	// before it is adopted: deleted machines stay listed for a while.
	UnexpectedLists = 4
	// RecallOver is how long after a recall the machine surely is gone.
	RecallOver = 2 * time.Second
	// LapsedReturn is how long a machine whose lease is over may stay silent
	// before it is returned: it costs as much as one that works.
	LapsedReturn = 10 * time.Second
	// IdleReturn is how long a machine without work is kept.
	IdleReturn = 6 * time.Second
	// DefaultAim stands for a class's aim when the settings have none.
	DefaultAim = 300 * time.Second
	// HorizonShare is the part of a class's aim that its waiting work may
	// take on the machines there are before more are rented.
	HorizonShare = 0.1
	// LeastRun is the least run time assumed of a task.
	LeastRun = 10 * time.Second
	// RentalRest is the waiting work, in tasks, not worth another machine.
	RentalRest = 0.5
)

// Duties.
const (
	// EntriesEvery is how often a page of the log of duties is written: machines are
	// returned by tens at a time, and each waits for its entry.
	EntriesEvery = 250 * time.Millisecond
	// EntriesMost is how many actions may be entered and not settled. It is four times
	// the largest fleet measured; further ones wait for room.
	EntriesMost = 16000
	// LateCall is how long a call that nobody answered is expected to come late: until
	// then a rental that was refused meanwhile is asked for again by its name.
	LateCall = 3 * time.Minute
	// DutyEntriesShown bounds the entries of one duty in an answer to an operator.
	DutyEntriesShown = 50
)
