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
	// NotEntered: the cloud carried out an action that was never entered.
	NotEntered Rule = "not_entered"
	// StaleAction: the cloud carried out an action whose entry had been settled.
	StaleAction Rule = "stale_action"
	// WorkReturned: a machine was deleted that had work its entry did not allow for.
	WorkReturned Rule = "work_returned"
	// WorkGiven: a tenure started work on a machine that an earlier one had entered as
	// given up.
	WorkGiven Rule = "work_given"
)

// ActionCheck compares what the cloud carries out with the log of duties as the state
// service stores it. It knows what no controller does: what was carried out late.
type ActionCheck struct {
	// Effects counts the actions that were carried out, by duty.
	Effects map[intentlog.Operation]int
	// EntryWrites counts the successful writes of pages of the log.
	EntryWrites int
	// Grace is how long after the log came in force calls that were made before may be
	// carried out.
	Grace   time.Duration
	cluster *Cluster
	state   *StateService
	entered map[string]intentlog.Entry // whatever was ever entered, by target
	pages   map[string]map[string]bool // the targets in each page of the log as stored now
	inForce time.Time                  // since when the log has been; zero: it has not
}

// inForceKey is the record that tells which switches are in force.
const inForceKey = "c/switches"

// NewActionCheck makes a checker and has it watch the stand-ins.
func NewActionCheck(cluster *Cluster, state *StateService, cloud *Cloud) *ActionCheck {
	c := &ActionCheck{Effects: map[intentlog.Operation]int{}, cluster: cluster, state: state, entered: map[string]intentlog.Entry{}, pages: map[string]map[string]bool{}}
	before := state.OnCall
	state.OnCall = func(call store.Call, err error) {
		if before != nil {
			before(call, err)
		}
		c.stored(call, err)
	}
	cloud.OnRent, cloud.OnDelete, cluster.Started = c.rented, c.deleted, c.started
	return c
}

// stored takes note of entries that have just become durable.
func (c *ActionCheck) stored(call store.Call, err error) {
	if err != nil {
		return
	}
	for _, w := range call.Transaction.Writes {
		switch {
		case w.Put == inForceKey:
			if c.inForce.IsZero() && strings.Contains(string(w.Value), `"duties"`) {
				c.inForce = c.cluster.Clock.Now()
			}
		case strings.HasPrefix(w.Put, intentlog.Prefix):
			c.EntryWrites++
			c.storedPage(w.Put, w.Value)
		case strings.HasPrefix(w.Delete, intentlog.Prefix):
			delete(c.pages, w.Delete)
		case strings.HasPrefix(w.Put, fleet.UnderRentals):
			name := w.Put[strings.LastIndex(w.Put, "/")+1:]
			c.entered[name] = intentlog.Entry{Operation: intentlog.Provision, Target: name}
		}
	}
}

func (c *ActionCheck) storedPage(key string, value json.RawMessage) {
	entries, err := intentlog.ReadPage(value)
	if err != nil {
		c.cluster.Break(Expectation, "a page of the log of duties cannot be read: %v", err)
		return
	}
	c.pages[key] = map[string]bool{}
	for _, e := range entries {
		c.entered[e.Target] = e
		c.pages[key][e.Target] = true
	}
}

// CarriedOut is how many actions were carried out.
func (c *ActionCheck) CarriedOut() int {
	n := 0
	for _, count := range c.Effects {
		n += count
	}
	return n
}

// open tells whether a machine's entry is in the log as it is stored now.
func (c *ActionCheck) open(target string) bool {
	for _, targets := range c.pages {
		if targets[target] {
			return true
		}
	}
	return false
}

// active tells whether all that is carried out has to be in the log.
func (c *ActionCheck) active() bool {
	return !c.inForce.IsZero() && c.cluster.Clock.Now().Sub(c.inForce) >= c.Grace
}

// recorded tells whether a rental's record is there.
func (c *ActionCheck) recorded(name string) bool {
	for key := range c.state.Keys {
		if strings.HasPrefix(key, fleet.UnderRentals) && strings.HasSuffix(key, "/"+name) {
			return true
		}
	}
	return false
}

// rented is told of a rental that the cloud has just carried out for the first time.
func (c *ActionCheck) rented(name string) {
	if !c.active() {
		return
	}
	c.Effects[intentlog.Provision]++
	if _, ok := c.entered[name]; !ok {
		c.cluster.Break(NotEntered, "rental %s", name)
	} else if !c.recorded(name) {
		c.cluster.Break(StaleAction, "rental %s is carried out after it was settled", name)
	}
}

// deleted is told of a machine that the cloud is about to delete.
func (c *ActionCheck) deleted(host string) {
	if !c.active() {
		return
	}
	e, ok := c.entered[host]
	if !ok {
		c.cluster.Break(NotEntered, "deletion of %s", host)
		return
	}
	c.Effects[e.Operation]++
	if !c.open(host) {
		c.cluster.Break(StaleAction, "%s is deleted after its entry was settled", host)
	}
	w := c.cluster.Workers[host]
	if w == nil {
		return // it is still booting
	}
	for _, t := range w.Tasks {
		if t.OnMachine() && (e.Operation == intentlog.Deprovision || tokenOf(t) > e.Token) {
			c.cluster.Break(WorkReturned, "%s is deleted with attempt %d of %s on it, entered for %s under token %d", host, t.Attempt, t.Job.Spec.ID, e.Operation, e.Token)
		}
	}
}

// started is told of a task that a machine starts.
func (c *ActionCheck) started(w *Worker, t *Task) {
	e, ok := c.entered[w.Host.ID]
	if ok && c.active() && tokenOf(t) > e.Token {
		c.cluster.Break(WorkGiven, "%s gets attempt %d, entered for %s under token %d", w.Host.ID, t.Attempt, e.Operation, e.Token)
	}
}

// tokenOf is the token of the tenure that started an attempt.
func tokenOf(t *Task) uint64 { return t.Attempt >> tuning.AttemptBits }
