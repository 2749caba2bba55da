// Package tuning holds the service's constants, each with its unit and reason.
// What a deployment may differ in comes from the platform's settings; what an
// operator may change comes through the administration API.
package tuning

import "time"

// Leases and membership.
const (
	// MemberLease is a member's lease in the state service. The design's 10 s
	// is as long as a worker's own lease where leases are shortest: workers
	// would lose their tasks before a successor could renew them. A third of
	// that leaves time for a takeover and for two lost renewals.
	MemberLease = 3500 * time.Millisecond
	// MemberTouch is how long after a renewal the next is sent: three may be
	// lost before the lease ends.
	MemberTouch = 1000 * time.Millisecond
	// TouchesAtOnce is how many renewals may be under way, and TouchTimeout how long
	// one may take: an answer later than the lease is of no use.
	TouchesAtOnce = 3
	TouchTimeout  = 3 * time.Second
	// MemberRetry is the pause after a failed renewal or grant.
	MemberRetry = 250 * time.Millisecond
	// LeaseGuard is how long before its lease may end a holder stops acting:
	// covers a late timer and the way to the network.
	LeaseGuard = 150 * time.Millisecond
	// ClockDrift is the largest drift between two steady clocks, as a part.
	ClockDrift = 0.0005
	// ElectionPause follows each election or assignment transaction, so that
	// its outcome has arrived before the next.
	ElectionPause = 50 * time.Millisecond
	// Blocks is the number of machine blocks: one packs best, keeps quotas exact and
	// is carried by one holder up to 1,850 machines, with an average of a fifth of its
	// share of a processor at most (docs/design.md).
	Blocks = 1
	// RenewMargin is kept of the time for a cancellation when a holder that
	// lost touch with the state service goes on renewing workers.
	RenewMargin = 5 * time.Second
	// RenewLeast is how long past its horizon a holder answers reports at least: a
	// watch without news and the wait for the next take so long. Only where a lease
	// is nearly as long as a cancellation has does it matter.
	RenewLeast = 6 * time.Second
)

// The state service.
const (
	// StateTimeout bounds a call: answers usually take under 10 ms.
	StateTimeout = 1500 * time.Millisecond
	// StateAnswerBytes bounds an answer: lists are at most 512 KiB, a watch
	// may say more.
	StateAnswerBytes = 8 << 20
	// StateShare is one node's least part of the service's rates when there are
	// several: they rarely need it at the same time. It grows by ShareStep each
	// ShareEvery while writes wait and nothing is refused, as a holder writes most; a
	// refusal ends that, for SharePause at least.
	StateShare = 0.6
	ShareStep  = 0.05
	ShareEvery = 500 * time.Millisecond
	SharePause = 5 * time.Second
	// BudgetRetry is the pause before a call that found no rate left tries
	// again, in the client's own queue.
	BudgetRetry = 50 * time.Millisecond
	// ListPage is how many keys one call lists, the service's largest page.
	ListPage = 1000
	// WatchWait is how long one watch waits: short, so that one whose
	// connection died in silence is soon replaced.
	WatchWait = 4 * time.Second
	// MirrorRetry is the pause after a failed list or watch.
	MirrorRetry = 250 * time.Millisecond
	// PageFill is the part of a value's limit that a page's entries may take:
	// the service counts the JSON around them too.
	PageFill = 0.85
	// TxnOpsLeast is how many puts and deletes one transaction needs: a job's end and
	// its entry, a token and the block that gets it.
	TxnOpsLeast = 2
	// LowerAfter is how many refusals for the rate, or one for a value's size, within
	// LowerWithin tell a node that the service has lowered its limits: a few come in
	// bursts, as the nodes share the rate without asking each other.
	LowerAfter  = 12
	LowerWithin = 10 * time.Second
	// RaiseAfter is how long a lowered rate is kept before the present one is tried
	// again, in case a burst was taken for a change. It doubles each time, up to
	// RaiseAfterMost: a trial costs a few refusals. LowerAfterTrial of them end it.
	RaiseAfter      = 2 * time.Minute
	RaiseAfterMost  = 30 * time.Minute
	LowerAfterTrial = 4
	// PruneEvery is how long a page from which entries were only removed waits for its next
	// write: what is removed does no harm, and each write takes some of the rate.
	PruneEvery = 10 * time.Second
	// PagesMost bounds the numbers of pages, far above any use.
	PagesMost = 10000
	// RecordRetry is the pause after a failed write of a record. After a refusal for the
	// size of one that cannot be made smaller it doubles up to RecordRetryMost.
	RecordRetry     = 300 * time.Millisecond
	RecordRetryMost = 20 * time.Second
	// PageLeast is the size, in bytes, below which a page is not made smaller, whatever
	// the service refuses: its longest entries, names with addresses, take half of it.
	PageLeast = 128
	// StateReads is how many questions to the state service may be under way at
	// once, StateWrites how many writes of each class, StateExtra how many leases
	// and watches may be beside them. A write may wait long for its rate: nothing
	// else waits behind it.
	StateReads  = 8
	StateWrites = 8
	StateExtra  = 6
)

// WriteReserve is the part of a full write bucket that each class of calls,
// in order leases, tenures, users, finals, tallies, leaves for the ones before it.
var WriteReserve = [...]float64{0, 0.1, 0.1, 0.2, 0.4}

// Users.
const (
	// RetryAfterBusy and RetryAfterUnable tell a user, in seconds, when to
	// come back: overload passes quickly, an outage takes a little longer.
	RetryAfterBusy   = 1
	RetryAfterUnable = 2
	// FinalsKept is how many ended jobs a node answers from memory.
	FinalsKept = 20000
	// SubmitsInHand bounds submissions and cancellations under way.
	SubmitsInHand = 64
	// ReadsInHand bounds the jobs being read for queries.
	ReadsInHand = 128
	// CancelTries is how often a cancellation looks again after a conflict.
	CancelTries = 3
	// ToldCancels is for how many times the time that a cancelled job's tasks have a
	// node keeps note of having told of it: after once they are gone, whoever holds
	// their block. ToldKept is how many it notes, ToldAtOnce how many it passes on
	// with one message, far below what one may hold.
	ToldCancels = 2
	ToldKept    = 4096
	ToldAtOnce  = 512
	// BodyBytes is the largest request body, by the protocol.
	BodyBytes = 64 << 10
	// BodyAtOnce is the size up to which a body gets all its memory before it has
	// come: most reports and all usual submissions are smaller.
	BodyAtOnce = 4 << 10
)

// Workers.
const (
	// LeaseMargin is added to a worker's lease before it counts as over.
	LeaseMargin = 300 * time.Millisecond
	// SilentReports, in report intervals, and SilentGrace: a machine that has
	// not reported for so long gets no new work.
	SilentReports = 1.6
	SilentGrace   = 500 * time.Millisecond
	// DoTimeout bounds a direct command, which normally takes milliseconds. An answer
	// that a holder short of processor time is too slow to read would count against
	// the machine, which is returned: with 3 s a starved one returned one after the
	// other. Machines that cannot be reached are told by WorkerDial, how long the
	// making of a connection to a worker may take, for the same reason not too short.
	DoTimeout  = 8 * time.Second
	WorkerDial = 2 * time.Second
	// DoCalls is how many direct commands may be under way at once, or DoShare of
	// the machine's sockets if that is more: a fifth of the machines may be cut
	// off, and each command to one of them hangs for a second. DoIdle is how many
	// connections are kept for further commands.
	DoCalls = 16
	DoShare = 0.025
	DoIdle  = 16
	// UnreachableMachines is how many machines must have reported lately, and
	// UnreachableReports for how many report intervals none of them may have, for a
	// holder to suspect that it is the one cut off: reports vary by a quarter.
	UnreachableMachines = 3
	UnreachableReports  = 1.25
	// ProbeWorkers is how many workers a peer is then asked to try, and
	// ProbeTimeout how long it tries.
	ProbeWorkers = 3
	ProbeTimeout = 700 * time.Millisecond
	// DirectMost is how many attempts may be started by direct commands in a
	// worker's session. They stay in its reports, which must not grow for ever;
	// beyond it all starts go with the answers to reports.
	DirectMost = 40
	// FenceRetry is the pause before an unheard machine is asked again.
	FenceRetry = 1 * time.Second
	// WorkerPatience is the least time after which a worker that got no answer
	// turns to another node, by the protocol 4 s, less what a network may have
	// held its report before back.
	WorkerPatience = 3500 * time.Millisecond
	// MuteLeases is for how many leases a machine may report without a sign that
	// anything reaches it before it is returned: a lost answer or a change of
	// the holder passes within one.
	MuteLeases = 2
	// GoneKept is how many returned machines' names are remembered.
	GoneKept = 20000
	// AttemptBits is how many low bits of an attempt number count within a tenure.
	AttemptBits = 20
)

// Placement.
const (
	// DropThreshold is the design document's count of stops after which a
	// spare is dropped.
	DropThreshold = 10
	// LowDepth is how many spares may queue at one worker.
	LowDepth = 8
	// RedrawReports is the report round, in report intervals, after which a
	// stuck main is redrawn: reports vary by a quarter.
	RedrawReports = 1.5
	// SpareReports is how long, in report intervals, a main must have waited
	// before its spare starts: a main whose machine reports in time would
	// stop the spare at once.
	SpareReports = 1.5
	// TurnMost is how much later the turn of an array with very much work waiting
	// comes than that of one with very little; one with the usual amount is in
	// the middle. Small ones first, but the largest do not starve.
	TurnMost = 800 * time.Second
	// GangsAhead is how much earlier the turn of a gang comes than an array's
	// of its priority: a gang that waits holds no machine up, an array fills
	// whatever is left. Bounded, or a burst of gangs would starve the arrays.
	GangsAhead = 120 * time.Second
	// GangPatience is how long a gang waits before no later one of its priority may
	// be placed before it.
	GangPatience = 60 * time.Second
	// BeginAhead is how many arrays that are next in turn are marked as begun
	// before there is room for them: the mark takes a write, and a place that is
	// not filled with one report waits for the next.
	BeginAhead = 8
	// BeginGangs is how many jobs may wait for their marks before a gang may not
	// ask for one too.
	BeginGangs = 64
	// GangsTried is how many gangs may find no room in one draw before the rest
	// is not tried: with thousands waiting the first have not been placed.
	GangsTried = 200
	// DrawTasks is how many arrays' tasks one draw queues, DrawGangs how many gangs it
	// places; the next draw goes on. A draw that placed all of a burst kept
	// a holder with a twentieth of a core from its lease for a second.
	DrawTasks = 64
	DrawGangs = 8
	// BeginBy is after how long a job of which nothing has started goes first,
	// with BeginTasks of its tasks: the largest jobs too should begin within
	// four minutes, whatever the burst.
	BeginBy    = 150 * time.Second
	BeginTasks = 8
	// StarveAfter is how long a job waits for all its tasks to start before it
	// is raised by a priority, and by another after each StarveStep.
	StarveAfter = 260 * time.Second
	StarveStep  = 15 * time.Second
	// CloseEvery is the least time between two times that machines are emptied
	// to be returned: what the first ones' tasks do to the rest shows only then.
	CloseEvery = 3 * time.Second
	// ClosePart is the part of the machines in use, one of so many, that is
	// emptied at a time, and CloseTries how many are tried for each of them.
	ClosePart  = 40
	CloseTries = 4
	// CloseRoom is the part of a machine that must be free for it to be asked
	// whether it would take a task of another.
	CloseRoom = 0.02
	// FillSteps is in how many steps a machine's fill is told apart when a task
	// is drawn: finer ones would leave nothing to chance.
	FillSteps = 4
	// ImagePatience is how much later an array's turn may be than the first's
	// for its tasks to go first where their image is: a fetch holds a place for
	// as long as a short task.
	ImagePatience = 1000 * time.Second
	// DrawEvery is how often jobs are gone through although nothing changed:
	// pauses end, and machines fall silent.
	DrawEvery = 100 * time.Millisecond
	// TurnsEvery is how often the jobs' turns are worked out anew: work drains
	// within seconds.
	TurnsEvery = 1 * time.Second
	// TurnsSoon is the least time between two sorts when jobs come and go: a
	// burst brings tens of them a second.
	TurnsSoon = 100 * time.Millisecond
	// GangKinds is for how many kinds of gangs places are counted.
	GangKinds = 32
	// SpareDraws is how many random machines are tried for a spare.
	SpareDraws = 16
	// SaveGrace is added to the time a task needs to save.
	SaveGrace = 1 * time.Second
	// RecallReports is how early, in report intervals, tasks on a recalled
	// machine are told to save: the stop may have to wait for a report.
	RecallReports = 1.3
	// RetryPause follows a task's failure; it doubles, RetryDoublings times
	// at most, while its job fails everywhere.
	RetryPause     = 1 * time.Second
	RetryDoublings = 5
	// RefusedPause follows a refused start.
	RefusedPause = 1 * time.Second
	// FaultyJobs is how many jobs must have failed on a machine for it to
	// count as faulty, FaultyErrors how many tasks of one job that runs well
	// elsewhere.
	FaultyJobs   = 2
	FaultyErrors = 2
	// BadJobMachines is on how many machines a job must have failed, without
	// any success, to be taken for a job with a mistake.
	BadJobMachines = 3
	// ServiceWell is how long a replica must run for its machine, and its service, to
	// count as sound.
	ServiceWell = 10 * time.Second
	// ReserveMachines is on how many machines that are not spot there is room for one
	// more service like the largest, lower work giving way: one may be lost.
	ReserveMachines = 2
	// UnseenBoots is how many times shorter than a boot a class's aim for its start must
	// be for a machine to be kept before its first job has come.
	UnseenBoots = 5.0
	// PaceWeight is the weight of the newest run time in a class's pace.
	PaceWeight = 0.1
)

// Scores of a gang's possible places; the lowest sum is taken. In seconds of
// a whole machine's work that would be given up for it.
const (
	ScorePreempt    = 30.0 // a stop and a reported exit come first
	ScoreNoImage    = 90.0 // the image has to be fetched, and the gang starts late for it
	ScoreQuickImage = 30.0 // the image can be fetched in time
	// StartTime is what a gang's start takes beside saving and fetching: commands
	// and reports on their way.
	StartTime = 1 * time.Second
	// FetchSlack is how much slower than its type says a machine may fetch.
	FetchSlack    = 1.3
	ScoreOrdinary = 10.0 // a cheap machine would do
)

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
	// ListEvery is how often the machines are listed.
	ListEvery = 5 * time.Second
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
	// StrangerLists is in how many lists a machine nobody knows must be
	// before it is adopted: deleted machines stay listed for a while.
	StrangerLists = 4
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

// The process.
const (
	// TickEvery is how often slices look for what is due.
	TickEvery = 100 * time.Millisecond
	// SlowTurn is how long the owner may be busy with one thing before it is logged:
	// a tenth of a member's lease.
	SlowTurn = 350 * time.Millisecond
	// LateTick is how late a tick may come before it is logged: past a member's
	// renewal it is on the way to losing its lease.
	LateTick = 1 * time.Second
	// TallyEvery is how long completions gather before they are written.
	TallyEvery = 1500 * time.Millisecond
	// EndsAtOnce is how many jobs' ends may be under way: the rest waits in the order of
	// priority, and not behind whatever was asked for before.
	EndsAtOnce = 8
	// TallyBits is how many bits of a tally go into one byte of a value's
	// limit: base64 takes its part, and a page should hold several jobs'.
	TallyBits = 2
	// TallyName is what a tally's name and the JSON around it take of its page, bytes.
	TallyName = 64
	// BegunEvery is how often jobs are marked as begun: a gang waits for it.
	BegunEvery = 100 * time.Millisecond
	// UsedEvery is how often machines heard for the first time are entered as
	// used: hundreds come up within seconds, and each waits for its entry.
	UsedEvery = 250 * time.Millisecond
	// OpenPace is how soon after one change of the open jobs, or of the rentals, a
	// node that holds no block looks for the next: questions bring it up to date.
	OpenPace = 1 * time.Second
	// HolderPace is the same for a holder, which has to act on them.
	HolderPace = 50 * time.Millisecond
	// SyncShare is the part of the state service's rate that all nodes'
	// questions about open jobs may take together.
	SyncShare = 0.3
	// CountEvery is how often the counters of copies are logged.
	CountEvery = 60 * time.Second
	// EventBuffer is how many events of a sort may wait for the owner goroutine.
	EventBuffer = 256
	// PulseEvery is how often the controllers exchange what they know.
	PulseEvery = 1 * time.Second
	// PulseTimeout bounds a pulse, ProgressTimeout a question for progress: a
	// user waits 2 s for an answer.
	PulseTimeout    = 800 * time.Millisecond
	ProgressTimeout = 400 * time.Millisecond
	// ProgressJobs is about how many jobs one call asks a block's holder.
	ProgressJobs = 500
	// PeerCalls is how many calls to peers may be under way at once.
	PeerCalls = 32
	// CutAfter is how long the state service must have been silent to a node,
	// while a peer hears it, for the node to call itself unhealthy.
	CutAfter = 4 * time.Second
	// HeaderTimeout bounds what a client may take for a request, IdleTimeout how
	// long one of this node's own connections is kept for the next call.
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 90 * time.Second
	// IdleReports, in report intervals, and IdleLeast are how long a client's
	// connection is kept without a request.
	IdleReports = 4
	IdleLeast   = 20 * time.Second
	// OwnSockets are kept for listeners, operators and connections that are being
	// closed, GuestsLeast given to clients however small the limit.
	OwnSockets  = 60
	GuestsLeast = 64
	// ReportWait bounds how long a report waits for its turn: its worker turns to
	// another node after 4 s.
	ReportWait = 3 * time.Second
	// DialTimeout bounds the making of a connection: one that takes longer
	// leads into a cut.
	DialTimeout = 1 * time.Second
	// PeerRetry and PeerRetryMost bound the pauses between attempts to reach
	// a peer: one that was restarted should be heard again at once.
	PeerRetry     = 200 * time.Millisecond
	PeerRetryMost = 1 * time.Second
	// WorkerAnswerBytes bounds a worker's answer: a report has at most one
	// entry a task.
	WorkerAnswerBytes = 1 << 20
	// CommandsMost bounds the commands in one answer, so that it stays far below
	// the protocol's 64 KiB a line.
	CommandsMost = 300
	// StatusJobs bounds the jobs in a status.
	StatusJobs = 200
	// MeasuredCPU, in cores, MeasuredMemoryMB and MeasuredSockets are the smallest
	// machine on which the service was seen to keep up with a fleet, of up to 260
	// simulated machines (docs/operations.md); below them it warns.
	MeasuredCPU      = 0.036
	MeasuredMemoryMB = 65
	MeasuredSockets  = 900
	// GCPercent lets the heap grow several times over what is live before it is
	// collected: what is live is small, and the memory limit bounds the rest.
	GCPercent = 400
	// MemoryShare is the part of the memory limit given to the Go heap; the
	// program's text and the runtime's own memory take the rest.
	MemoryShare = 0.6
)
