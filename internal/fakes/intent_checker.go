package fakes

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/featuregate"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// Rules of the intent log that IntentChecker checks.
const (
	// NotRecorded means that the cloud executed an operation without a recorded intent.
	NotRecorded Rule = "not_recorded"
	// StaleIntent means that the cloud executed an operation whose intent was already completed.
	StaleIntent Rule = "stale_intent"
	// BusyMachineDeleted means that a machine was deleted while it ran tasks that its intent did
	// not cover.
	BusyMachineDeleted Rule = "busy_machine_deleted"
	// TaskOnDeletingMachine means that a term started a task on a machine for which an earlier term
	// had recorded an intent to delete it.
	TaskOnDeletingMachine Rule = "work_on_terminating_machine"
)

// IntentChecker compares the operations that the cloud executes with the intent log in the state
// service. It also detects calls that the cloud executes late, which no controller can observe.
type IntentChecker struct {
	// Executed counts the checked operations that the cloud has executed, by kind.
	Executed map[intentlog.Operation]int
	// PageWrites counts successful writes of intent log pages.
	PageWrites int
	// GracePeriod is the time after the intent log is enabled in which earlier calls may still be
	// executed. No operation is checked before its end.
	GracePeriod time.Duration

	cluster         *Cluster
	store           *StateService
	recordedIntents map[string]intentlog.Entry // latest intent ever recorded, by target
	pages           map[string]map[string]bool // targets in each page as currently stored, by key
	enabledSince    time.Time                  // time at which the intent log was first enabled; zero before
}

// featureGatesKey is the key of the record that lists the enabled features.
const featureGatesKey = "c/switches"

// NewIntentChecker returns a checker and installs its hooks in the fakes. It chains to an existing
// StateService.OnCall and replaces Cloud.OnCreate, Cloud.OnDelete and Cluster.OnTaskStart.
func NewIntentChecker(cluster *Cluster, stateService *StateService, cloud *Cloud) *IntentChecker {
	checker := &IntentChecker{
		Executed:        map[intentlog.Operation]int{},
		cluster:         cluster,
		store:           stateService,
		recordedIntents: map[string]intentlog.Entry{},
		pages:           map[string]map[string]bool{},
	}
	previous := stateService.OnCall
	stateService.OnCall = func(call store.Call, err error) {
		if previous != nil {
			previous(call, err)
		}
		checker.observeWrite(call, err)
	}
	cloud.OnCreate, cloud.OnDelete = checker.checkCreation, checker.checkDeletion
	cluster.OnTaskStart = checker.checkTaskStart
	return checker
}

// observeWrite tracks the intents written or deleted by a successful transaction.
func (c *IntentChecker) observeWrite(call store.Call, err error) {
	if err != nil {
		return
	}
	for _, write := range call.Transaction.Writes {
		switch {
		case write.PutKey == featureGatesKey:
			c.observeFeatureGates(write.Value)
		case strings.HasPrefix(write.PutKey, intentlog.Prefix):
			c.PageWrites++
			c.observePage(write.PutKey, write.Value)
		case strings.HasPrefix(write.DeleteKey, intentlog.Prefix):
			delete(c.pages, write.DeleteKey)
		case strings.HasPrefix(write.PutKey, fleet.ProvisioningPrefix):
			name := write.PutKey[strings.LastIndex(write.PutKey, "/")+1:]
			c.recordedIntents[name] = intentlog.Entry{Operation: intentlog.Provision, Target: name}
		}
	}
}

// observeFeatureGates records when the intent log is first enabled.
func (c *IntentChecker) observeFeatureGates(value json.RawMessage) {
	enabled := strings.Contains(string(value), strconv.Quote(featuregate.IntentLogFeature))
	if enabled && c.enabledSince.IsZero() {
		c.enabledSince = c.cluster.Clock.Now()
	}
}

// observePage tracks the intents in a page of the intent log.
func (c *IntentChecker) observePage(key string, value json.RawMessage) {
	entries, err := intentlog.ReadPage(value)
	if err != nil {
		c.cluster.AddViolation(Expectation, "failed to decode page of the intent log: %v", err)
		return
	}
	c.pages[key] = map[string]bool{}
	for _, entry := range entries {
		c.recordedIntents[entry.Target] = entry
		c.pages[key][entry.Target] = true
	}
}

// TotalExecuted returns the number of checked operations that the cloud has executed.
func (c *IntentChecker) TotalExecuted() int {
	total := 0
	for _, count := range c.Executed {
		total += count
	}
	return total
}

// isPending reports whether the intent log currently holds an intent for a machine.
func (c *IntentChecker) isPending(target string) bool {
	for _, targets := range c.pages {
		if targets[target] {
			return true
		}
	}
	return false
}

// checksActive reports whether the grace period after the enabling of the intent log has ended. From then
// on every executed operation must have an intent.
func (c *IntentChecker) checksActive() bool {
	return !c.enabledSince.IsZero() && c.cluster.Clock.Now().Sub(c.enabledSince) >= c.GracePeriod
}

// requestRecorded reports whether the record of a provisioning request is currently stored.
func (c *IntentChecker) requestRecorded(name string) bool {
	for key := range c.store.Keys {
		if strings.HasPrefix(key, fleet.ProvisioningPrefix) && strings.HasSuffix(key, "/"+name) {
			return true
		}
	}
	return false
}

// checkCreation checks a provisioning request that the cloud executes for the first time.
func (c *IntentChecker) checkCreation(name string) {
	if !c.checksActive() {
		return
	}
	c.Executed[intentlog.Provision]++
	if _, ok := c.recordedIntents[name]; !ok {
		c.cluster.AddViolation(NotRecorded, "provisioning request %s", name)
	} else if !c.requestRecorded(name) {
		c.cluster.AddViolation(StaleIntent, "provisioning request %s executed after it was completed", name)
	}
}

// checkDeletion checks the deletion of a machine that the cloud is about to execute.
func (c *IntentChecker) checkDeletion(host string) {
	if !c.checksActive() {
		return
	}
	entry, ok := c.recordedIntents[host]
	if !ok {
		c.cluster.AddViolation(NotRecorded, "deletion of %s", host)
		return
	}
	c.Executed[entry.Operation]++
	if !c.isPending(host) {
		c.cluster.AddViolation(StaleIntent, "%s deleted after its intent was completed", host)
	}
	worker := c.cluster.Workers[host]
	if worker == nil {
		return // the machine is still booting
	}
	for _, task := range worker.Tasks {
		if task.OnMachine() && (entry.Operation == intentlog.Deprovision || tokenOfTask(task) > entry.Token) {
			c.cluster.AddViolation(BusyMachineDeleted,
				"%s deleted with attempt %d of %s on it; intent %s has token %d",
				host, task.Attempt, task.Job.Spec.ID, entry.Operation, entry.Token)
		}
	}
}

// checkTaskStart checks that no earlier term has recorded an intent to delete the machine on which a task
// starts.
func (c *IntentChecker) checkTaskStart(worker *Worker, task *Task) {
	entry, ok := c.recordedIntents[worker.Host.ID]
	if ok && c.checksActive() && tokenOfTask(task) > entry.Token {
		c.cluster.AddViolation(TaskOnDeletingMachine, "%s starts attempt %d; intent %s has token %d",
			worker.Host.ID, task.Attempt, entry.Operation, entry.Token)
	}
}

// tokenOfTask returns the fencing token of the term that started the attempt.
func tokenOfTask(t *Task) uint64 { return t.Attempt >> tuning.AttemptBits }
