package tuning

import "time"

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
