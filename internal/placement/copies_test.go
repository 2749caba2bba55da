package placement

import (
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// copiesFixture is a task whose backup runs on one machine while its primary
// is stuck on another.
type copiesFixture struct {
	*testHarness
	task    *Task
	primary *worker.Machine
	backup  *worker.Machine
}

// startBackup makes a copiesFixture whose backup was stopped a number of times before.
func startBackup(t *testing.T, earlierStops int) *copiesFixture {
	h := newHarness(t, 2)
	f := &copiesFixture{testHarness: h, primary: h.registry.All()[0], backup: h.registry.All()[1]}
	f.task = h.addJob("blue", wire.ShapeBatch, "low", 1, 1).addTask(0)
	f.task.backupPreemptions = earlierStops
	h.scheduler.queues.queuePrimary(h.now, f.task, f.primary)
	h.scheduler.queues.queueBackup(f.task, f.backup)
	f.primary.Allocated = f.primary.Capacity // stuck behind something
	if got := describe(h.heartbeat(f.backup)); got != "" {
		t.Fatalf("the backup starts while its primary has only just been queued: %s", got)
	}
	h.now = h.now.Add(3 * time.Second)
	h.scheduler.dispatcher.dispatchQueueHeads(h.now, f.backup)
	if f.task.phase != Dispatched || !f.task.isBackup {
		t.Fatalf("the backup does not start: %v", f.task.phase)
	}
	h.scheduler.Commands(h.now, f.backup, HeartbeatReply)
	heartbeat := h.newHeartbeat(f.backup)
	heartbeat.Tasks = []wire.TaskStatus{{Name: f.task.Name(), Attempt: f.task.attempt, State: wire.TaskRunning}}
	h.applyHeartbeat(f.backup, heartbeat, worker.FromHeartbeat)
	return f
}

// freePrimary removes what the primary is stuck behind.
func (f *copiesFixture) freePrimary() {
	f.primary.Allocated = quota.Resources{}
	f.heartbeat(f.primary)
}

var copiesCases = []struct {
	name         string
	earlierStops int // of the backup
	run          func(t *testing.T, f *copiesFixture)
}{
	{name: "the backup completes first", run: backupCompletesFirst},
	{name: "the primary reaches the head of its queue", run: primaryReachesHead},
	{
		name:         "the backup is stopped too often",
		earlierStops: tuning.BackupWithdrawThreshold - 1,
		run:          backupStoppedTooOften,
	},
	{name: "another task's primary needs the room", run: otherPrimaryNeedsRoom},
	{name: "the backup's machine is lost", run: backupMachineLost},
}

// The two copies of a task, as in the paper's section III and the design's
// points 2 to 4: a backup runs while its primary is stuck; the primary at the
// head of its queue stops it and waits for its reported exit; a backup that was
// stopped too often is withdrawn; the end of either copy removes the other.
func TestPrimaryAndBackupCopy(t *testing.T) {
	for _, c := range copiesCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, startBackup(t, c.earlierStops)) })
	}
}

func backupCompletesFirst(t *testing.T, f *copiesFixture) {
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitDone))
	queued := len(f.scheduler.capacity.info(f.primary).primaryQueue)
	if len(f.completed) != 1 || queued != 0 || f.task.primary != nil {
		t.Error("the primary is still there")
	}
}

func primaryReachesHead(t *testing.T, f *copiesFixture) {
	f.freePrimary()
	if f.task.phase != Stopping || f.task.machine != f.backup {
		t.Fatal("its backup was not stopped")
	}
	if got := describe(f.heartbeat(f.primary)); got != "" {
		t.Fatal("started before the backup's exit was reported: " + got)
	}
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitStopped))
	if f.task.backupPreemptions != 1 || f.task.backup != f.backup {
		t.Fatal("the backup is not queued again")
	}
	if got := describe(f.heartbeat(f.primary)); got != "run "+f.task.Name()+";" {
		t.Error("the primary did not start: " + got)
	}
}

func backupStoppedTooOften(t *testing.T, f *copiesFixture) {
	f.freePrimary()
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitStopped))
	if f.task.backup != nil || f.task.primary != f.primary {
		t.Error("the backup was not withdrawn, or the primary was")
	}
}

func otherPrimaryNeedsRoom(t *testing.T, f *copiesFixture) {
	other := f.addJob("red", wire.ShapeBatch, "high", 1, 2).addTask(0)
	f.scheduler.queues.queuePrimary(f.now, other, f.backup)
	f.heartbeat(f.backup)
	if f.task.phase != Stopping || f.task.backupPreemptions != 1 {
		t.Error("the backup does not give way")
	}
}

func backupMachineLost(t *testing.T, f *copiesFixture) {
	f.scheduler.ReleaseMachine(f.now, f.backup, "test")
	job := f.task.Job
	if job.assigned != 0 || job.pendingTasks()+len(job.tasks) != 1 {
		t.Error("the task is lost or counted twice")
	}
}

// A backup waits while a primary is queued at its machine, even one that may
// not start yet and beside which there is room (the paper's section III).
func TestBackupWaitsForQueuedPrimary(t *testing.T) {
	h := newHarness(t, 2)
	stuck, machine := h.registry.All()[0], h.registry.All()[1]
	task := h.addJob("blue", wire.ShapeBatch, "low", 1, 1).addTask(0)
	primary := h.addJob("red", wire.ShapeBatch, "low", 1, 1).addTask(0)
	queues, dispatcher := h.scheduler.queues, h.scheduler.dispatcher
	queues.queuePrimary(h.now, task, stuck)
	queues.queueBackup(task, machine)
	queues.queuePrimary(h.now, primary, machine)
	stuck.Allocated = stuck.Capacity
	h.scheduler.ledger.SetUnknownUsage(quota.Resources{GPUs: 4}) // the team red is at its limit
	h.now = h.now.Add(3 * time.Second)
	dispatcher.dispatchQueueHeads(h.now, machine)
	if task.phase != Unassigned || primary.phase != Unassigned {
		t.Fatalf("backup %v, primary %v while the primary is queued", task.phase, primary.phase)
	}
	queues.withdrawCopies(primary)
	dispatcher.dispatchQueueHeads(h.now, machine)
	if task.phase != Dispatched {
		t.Errorf("backup %v after the primary was withdrawn", task.phase)
	}
}
