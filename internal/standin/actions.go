package standin

import (
	"encoding/json"
	"strings"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// The rules of the log of duties that ActionCheck checks.
const (
	// NotRecorded: the cloud carried out an action that was never entered.
	NotRecorded Rule = "not_entered"
	// StaleIntent: the cloud carried out an action whose entry had been settled.
	StaleIntent Rule = "stale_action"
	// BusyMachineDeleted: a machine was deleted that had work its entry did not allow for.
	BusyMachineDeleted Rule = "work_returned"
	// WorkOnTerminatingMachine: a tenure started work on a machine that an earlier one had entered as
	// given up.
	WorkOnTerminatingMachine Rule = "work_given"
)

// IntentChecker compares what the cloud carries out with the log of duties as the state
// service stores it. It knows what no controller does: what was carried out late.
type IntentChecker struct {
	// Effects counts the actions that were carried out, by duty.
	Effects map[intentlog.Operation]int
	// PageWrites counts the successful writes of pages of the log.
	PageWrites int
	// Grace is how long after the log came in force calls that were made before may be
	// carried out.
	Grace   time.Duration
	cluster *Cluster
	store   *StateService
	recordedIntents map[string]intentlog.Entry // whatever was ever entered, by target
	pages   map[string]map[string]bool // the targets in each page of the log as stored now
	inForceSince time.Time                  // since when the log has been; zero: it has not
}

// featureGatesKey is the record that tells which switches are in force.
const featureGatesKey = "c/switches"

// NewIntentChecker makes a checker and has it watch the stand-ins.
func NewIntentChecker(cluster *Cluster, stateService *StateService, cloud *Cloud) *IntentChecker {
	checker := &IntentChecker{Effects: map[intentlog.Operation]int{}, cluster: cluster, store: stateService, recordedIntents: map[string]intentlog.Entry{}, pages: map[string]map[string]bool{}}
	before := stateService.OnCall
	stateService.OnCall = func(call store.Call, status int) {
		if before != nil {
			before(call, status)
		}
		checker.observeWrite(call, status)
	}
	cloud.OnCreate, cloud.OnDelete, cluster.OnTaskStart = checker.checkCreation, checker.checkDeletion, checker.checkStart
	return checker
}

// observeWrite takes note of entries that have just become durable.
func (c *IntentChecker) observeWrite(call store.Call, status int) {
	if status != 200 {
		return
	}
	for _, write := range call.Transaction.Writes {
		switch {
		case write.Put == featureGatesKey:
			if c.inForceSince.IsZero() && strings.Contains(string(write.Value), `"duties"`) {
				c.inForceSince = c.cluster.Clock.Now()
			}
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

func (c *IntentChecker) observePage(key string, value json.RawMessage) {
	entries, err := intentlog.ReadPage(value)
	if err != nil {
		c.cluster.AddViolation(Expectation, "a page of the log of duties cannot be read: %v", err)
		return
	}
	c.pages[key] = map[string]bool{}
	for _, entry := range entries {
		c.recordedIntents[entry.Target] = entry
		c.pages[key][entry.Target] = true
	}
}

// Completed is how many actions were carried out.
func (c *IntentChecker) Completed() int {
	total := 0
	for _, count := range c.Effects {
		total += count
	}
	return total
}

// isOpen tells whether a machine's entry is in the log as it is stored now.
func (c *IntentChecker) isOpen(target string) bool {
	for _, targets := range c.pages {
		if targets[target] {
			return true
		}
	}
	return false
}

// active tells whether all that is carried out has to be in the log.
func (c *IntentChecker) active() bool {
	return !c.inForceSince.IsZero() && c.cluster.Clock.Now().Sub(c.inForceSince) >= c.Grace
}

// requestRecorded tells whether a rental's record is there.
func (c *IntentChecker) requestRecorded(name string) bool {
	for key := range c.store.Keys {
		if strings.HasPrefix(key, fleet.ProvisioningPrefix) && strings.HasSuffix(key, "/"+name) {
			return true
		}
	}
	return false
}

// checkCreation is told of a rental that the cloud has just carried out for the first time.
func (c *IntentChecker) checkCreation(name string) {
	if !c.active() {
		return
	}
	c.Effects[intentlog.Provision]++
	if _, ok := c.recordedIntents[name]; !ok {
		c.cluster.AddViolation(NotRecorded, "rental %s", name)
	} else if !c.requestRecorded(name) {
		c.cluster.AddViolation(StaleIntent, "rental %s is carried out after it was settled", name)
	}
}

// checkDeletion is told of a machine that the cloud is about to delete.
func (c *IntentChecker) checkDeletion(host string) {
	if !c.active() {
		return
	}
	entry, ok := c.recordedIntents[host]
	if !ok {
		c.cluster.AddViolation(NotRecorded, "deletion of %s", host)
		return
	}
	c.Effects[entry.Operation]++
	if !c.isOpen(host) {
		c.cluster.AddViolation(StaleIntent, "%s is deleted after its entry was settled", host)
	}
	worker := c.cluster.Workers[host]
	if worker == nil {
		return // it is still booting
	}
	for _, task := range worker.Tasks {
		if task.OnMachine() && (entry.Operation == intentlog.Deprovision || tokenOfTask(task) > entry.Token) {
			c.cluster.AddViolation(BusyMachineDeleted, "%s is deleted with attempt %d of %s on it, entered for %s under token %d", host, task.Attempt, task.Job.Spec.ID, entry.Operation, entry.Token)
		}
	}
}

// checkStart is told of a task that a machine starts.
func (c *IntentChecker) checkStart(worker *Worker, task *Task) {
	entry, ok := c.recordedIntents[worker.Host.ID]
	if ok && c.active() && tokenOfTask(task) > entry.Token {
		c.cluster.AddViolation(WorkOnTerminatingMachine, "%s gets attempt %d, entered for %s under token %d", worker.Host.ID, task.Attempt, entry.Operation, entry.Token)
	}
}

// tokenOfTask is the token of the tenure that started an attempt.
func tokenOfTask(t *Task) uint64 { return t.Attempt >> tuning.AttemptBits }
