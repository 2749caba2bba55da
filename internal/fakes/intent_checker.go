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

// The rules of the intent log that IntentChecker checks.
const (
	// NotRecorded: the cloud carried out an operation for which no intent was ever recorded.
	NotRecorded Rule = "not_recorded"
	// StaleIntent: the cloud carried out an operation whose intent had been completed.
	StaleIntent Rule = "stale_intent"
	// BusyMachineDeleted: a machine was deleted with tasks on it that its intent did not allow for.
	BusyMachineDeleted Rule = "busy_machine_deleted"
	// TaskOnTerminatingMachine: a term started a task on a machine that an earlier term had
	// recorded for deletion.
	TaskOnTerminatingMachine Rule = "work_on_terminating_machine"
)

// IntentChecker compares what the cloud carries out with the intent log as the state service
// stores it. It knows what no controller does: which calls were carried out late.
type IntentChecker struct {
	// Effects counts the intents that were carried out, by operation.
	Executed map[intentlog.Operation]int
	// PageWrites counts the successful writes of pages of the log.
	PageWrites int
	// Grace is how long after the log came into force the calls that were made before may still
	// be carried out.
	GracePeriod time.Duration

	cluster         *Cluster
	store           *StateService
	recordedIntents map[string]intentlog.Entry // whatever was ever recorded, by target
	pages           map[string]map[string]bool // the targets in each page of the log as stored now
	inForceSince    time.Time                  // since when the log is in force; zero: it is not
}

// featureGatesKey is the record that tells which features are in force.
const featureGatesKey = "c/switches"

// NewIntentChecker makes a checker and has it called by the fakes. It keeps a StateService.OnCall
// that is set, and replaces the hooks of the cloud and of the cluster.
func NewIntentChecker(cluster *Cluster, stateService *StateService, cloud *Cloud) *IntentChecker {
	checker := &IntentChecker{
		Executed:        map[intentlog.Operation]int{},
		cluster:         cluster,
		store:           stateService,
		recordedIntents: map[string]intentlog.Entry{},
		pages:           map[string]map[string]bool{},
	}
	before := stateService.OnCall
	stateService.OnCall = func(call store.Call, err error) {
		if before != nil {
			before(call, err)
		}
		checker.observeWrite(call, err)
	}
	cloud.OnCreate, cloud.OnDelete = checker.checkCreation, checker.checkDeletion
	cluster.OnTaskStart = checker.checkStart
	return checker
}

// observeWrite takes note of intents that have just become durable.
func (c *IntentChecker) observeWrite(call store.Call, err error) {
	if err != nil {
		return
	}
	for _, write := range call.Transaction.Writes {
		switch {
		case write.Put == featureGatesKey:
			c.observeFeatureGates(write.Value)
		case strings.HasPrefix(write.Put, intentlog.Prefix):
			c.PageWrites++
			c.observePage(write.Put, write.Value)
		case strings.HasPrefix(write.Delete, intentlog.Prefix):
			delete(c.pages, write.Delete)
		case strings.HasPrefix(write.Put, fleet.ProvisioningPrefix):
			name := write.Put[strings.LastIndex(write.Put, "/")+1:]
			c.recordedIntents[name] = intentlog.Entry{Operation: intentlog.Provision, Target: name}
		}
	}
}

// observeFeatureGates takes note of the moment from which the intent log is in force.
func (c *IntentChecker) observeFeatureGates(value json.RawMessage) {
	inForce := strings.Contains(string(value), strconv.Quote(featuregate.IntentLogFeature))
	if inForce && c.inForceSince.IsZero() {
		c.inForceSince = c.cluster.Clock.Now()
	}
}

// observePage takes note of the intents in a page of the log.
func (c *IntentChecker) observePage(key string, value json.RawMessage) {
	entries, err := intentlog.ReadPage(value)
	if err != nil {
		c.cluster.AddViolation(Expectation, "a page of the intent log cannot be read: %v", err)
		return
	}
	c.pages[key] = map[string]bool{}
	for _, entry := range entries {
		c.recordedIntents[entry.Target] = entry
		c.pages[key][entry.Target] = true
	}
}

// Completed is how many intents were carried out.
func (c *IntentChecker) TotalExecuted() int {
	total := 0
	for _, count := range c.Executed {
		total += count
	}
	return total
}

// isOpen reports whether an intent for a machine is in the log as it is stored now.
func (c *IntentChecker) isOpen(target string) bool {
	for _, targets := range c.pages {
		if targets[target] {
			return true
		}
	}
	return false
}

// active reports whether all that is carried out has to be in the log.
func (c *IntentChecker) active() bool {
	return !c.inForceSince.IsZero() && c.cluster.Clock.Now().Sub(c.inForceSince) >= c.GracePeriod
}

// requestRecorded reports whether the record of a provisioning request is stored now.
func (c *IntentChecker) requestRecorded(name string) bool {
	for key := range c.store.Keys {
		if strings.HasPrefix(key, fleet.ProvisioningPrefix) && strings.HasSuffix(key, "/"+name) {
			return true
		}
	}
	return false
}

// checkCreation checks a provisioning request that the cloud carries out for the first time.
func (c *IntentChecker) checkCreation(name string) {
	if !c.active() {
		return
	}
	c.Executed[intentlog.Provision]++
	if _, ok := c.recordedIntents[name]; !ok {
		c.cluster.AddViolation(NotRecorded, "provisioning request %s", name)
	} else if !c.requestRecorded(name) {
		c.cluster.AddViolation(StaleIntent, "provisioning request %s is carried out after it was completed", name)
	}
}

// checkDeletion checks the deletion of a machine that the cloud is about to carry out.
func (c *IntentChecker) checkDeletion(host string) {
	if !c.active() {
		return
	}
	entry, ok := c.recordedIntents[host]
	if !ok {
		c.cluster.AddViolation(NotRecorded, "deletion of %s", host)
		return
	}
	c.Executed[entry.Operation]++
	if !c.isOpen(host) {
		c.cluster.AddViolation(StaleIntent, "%s is deleted after its intent was completed", host)
	}
	worker := c.cluster.Workers[host]
	if worker == nil {
		return // it is still booting
	}
	for _, task := range worker.Tasks {
		if task.OnMachine() && (entry.Operation == intentlog.Deprovision || tokenOfTask(task) > entry.Token) {
			c.cluster.AddViolation(BusyMachineDeleted,
				"%s is deleted with attempt %d of %s on it, recorded for %s under token %d",
				host, task.Attempt, task.Job.Spec.ID, entry.Operation, entry.Token)
		}
	}
}

// checkStart checks a task that a machine starts.
func (c *IntentChecker) checkStart(worker *Worker, task *Task) {
	entry, ok := c.recordedIntents[worker.Host.ID]
	if ok && c.active() && tokenOfTask(task) > entry.Token {
		c.cluster.AddViolation(TaskOnTerminatingMachine, "%s gets attempt %d, recorded for %s under token %d",
			worker.Host.ID, task.Attempt, entry.Operation, entry.Token)
	}
}

// tokenOfTask is the fencing token of the term that started an attempt.
func tokenOfTask(t *Task) uint64 { return t.Attempt >> tuning.AttemptBits }
