package placement

import (
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// runningBackupFixture is a task whose backup runs on one machine while its
// primary is stuck in the queue of another.
type runningBackupFixture struct {
	*testHarness
	task    *Task
	primary *worker.Machine
	backup  *worker.Machine
}

// startBackup returns a runningBackupFixture whose backup has already been
// preempted the given number of times.
func startBackup(t *testing.T, preemptions int) *runningBackupFixture {
	h := newHarness(t, 2)
	f := &runningBackupFixture{testHarness: h, primary: h.registry.All()[0], backup: h.registry.All()[1]}
	f.task = h.addJob("blue", wire.ShapeBatch, "low", 1, 1).addTask(0)
	f.task.backupPreemptions = preemptions
	h.scheduler.copyQueues.queuePrimary(h.now, f.task, f.primary)
	h.scheduler.copyQueues.queueBackup(f.task, f.backup)
	f.primary.Allocated = f.primary.Capacity // the primary is stuck
	if got := describe(h.heartbeat(f.backup)); got != "" {
		t.Fatalf("backup started right after its primary was queued: %s", got)
	}
	h.now = h.now.Add(3 * time.Second)
	h.scheduler.dispatcher.dispatchQueueHeads(h.now, f.backup)
	if f.task.phase != Dispatched || !f.task.isBackup {
		t.Fatalf("backup not started: phase %v", f.task.phase)
	}
	h.scheduler.Commands(h.now, f.backup, HeartbeatReply)
	heartbeat := h.newHeartbeat(f.backup)
	heartbeat.Tasks = []wire.TaskStatus{{Name: f.task.Name(), Attempt: f.task.attempt, State: wire.TaskRunning}}
	h.applyHeartbeat(f.backup, heartbeat, worker.FromHeartbeat)
	return f
}

// unblockPrimary frees the machine at which the primary is queued.
func (f *runningBackupFixture) unblockPrimary() {
	f.primary.Allocated = quota.Resources{}
	f.heartbeat(f.primary)
}

var backupCopyCases = []struct {
	name        string
	preemptions int // of the backup so far
	run         func(t *testing.T, f *runningBackupFixture)
}{
	{name: "backup completes first: primary withdrawn", run: backupCompletesFirst},
	{name: "primary at head of queue: backup preempted", run: primaryReachesHead},
	{
		name:        "backup preempted too often: withdrawn",
		preemptions: tuning.BackupWithdrawThreshold - 1,
		run:         backupPreemptedTooOften,
	},
	{name: "another task's primary needs the resources: backup preempted", run: otherPrimaryNeedsResources},
	{name: "backup's machine lost: task kept once", run: backupMachineLost},
}

// Guards the rules for the two copies of a task: never two running copies, and no copy
// left behind when the other completes.
func TestPrimaryAndBackupCopy(t *testing.T) {
	for _, c := range backupCopyCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, startBackup(t, c.preemptions)) })
	}
}

func backupCompletesFirst(t *testing.T, f *runningBackupFixture) {
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitDone))
	queued := f.scheduler.capacity.info(f.primary).primaryQueue.len()
	if len(f.completed) != 1 || queued != 0 || f.task.primary != nil {
		t.Errorf("%d completions, want 1; %d primaries queued or the primary still has a machine",
			len(f.completed), queued)
	}
}

func primaryReachesHead(t *testing.T, f *runningBackupFixture) {
	f.unblockPrimary()
	if f.task.phase != Stopping || f.task.machine != f.backup {
		t.Fatal("the backup is not being stopped")
	}
	if got := describe(f.heartbeat(f.primary)); got != "" {
		t.Fatal("primary started before the backup's exit was reported: " + got)
	}
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitStopped))
	if f.task.backupPreemptions != 1 || f.task.backup != f.backup {
		t.Fatal("the backup is not queued again")
	}
	if got := describe(f.heartbeat(f.primary)); got != "run "+f.task.Name()+";" {
		t.Error("the primary did not start: " + got)
	}
}

func backupPreemptedTooOften(t *testing.T, f *runningBackupFixture) {
	f.unblockPrimary()
	f.heartbeat(f.backup, exited(f.task.Name(), wire.ExitStopped))
	if f.task.backup != nil || f.task.primary != f.primary {
		t.Error("the backup was not withdrawn, or the primary was")
	}
}

func otherPrimaryNeedsResources(t *testing.T, f *runningBackupFixture) {
	other := f.addJob("red", wire.ShapeBatch, "high", 1, 2).addTask(0)
	f.scheduler.copyQueues.queuePrimary(f.now, other, f.backup)
	f.heartbeat(f.backup)
	if f.task.phase != Stopping || f.task.backupPreemptions != 1 {
		t.Error("the backup was not preempted")
	}
}

func backupMachineLost(t *testing.T, f *runningBackupFixture) {
	f.scheduler.ReleaseMachine(f.now, f.backup, "test")
	job := f.task.Job
	if job.assigned != 0 || job.pendingTasks()+len(job.tasks) != 1 {
		t.Error("the task is lost or counted twice")
	}
}

// Guards against a backup that starts while a primary is queued at its machine, even if
// the primary may not start yet.
func TestBackupWaitsForQueuedPrimary(t *testing.T) {
	h := newHarness(t, 2)
	stuck, machine := h.registry.All()[0], h.registry.All()[1]
	task := h.addJob("blue", wire.ShapeBatch, "low", 1, 1).addTask(0)
	primary := h.addJob("red", wire.ShapeBatch, "low", 1, 1).addTask(0)
	queues, dispatcher := h.scheduler.copyQueues, h.scheduler.dispatcher
	queues.queuePrimary(h.now, task, stuck)
	queues.queueBackup(task, machine)
	queues.queuePrimary(h.now, primary, machine)
	stuck.Allocated = stuck.Capacity
	h.scheduler.ledger.SetUnknownUsage(quota.Resources{GPUs: 4}) // team red reaches its limit
	h.now = h.now.Add(3 * time.Second)
	dispatcher.dispatchQueueHeads(h.now, machine)
	if task.phase != Unassigned || primary.phase != Unassigned {
		t.Fatalf("phases while the primary is queued: backup %v, primary %v", task.phase, primary.phase)
	}
	queues.withdrawCopies(primary)
	dispatcher.dispatchQueueHeads(h.now, machine)
	if task.phase != Dispatched {
		t.Errorf("phase of the backup after the primary was withdrawn: %v", task.phase)
	}
}
