package intentlog_test

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// chooser draws a number below n; the label names the choice where a failure is shown.
type chooser func(label string, n int) int

// plantedFault is a mistake that an owner makes on purpose, to test the checks.
type plantedFault int

const (
	noFault           plantedFault = iota
	callsEarly                     // calls are made before the entry is durable
	ignoresRecovered               // intents that earlier terms recorded are not recovered
	forgetsUnanswered              // an intent whose call was not answered is forgotten
	writesUnfenced                 // writes are not conditioned on the term
)

const (
	shardKey      = "c/b/0"   // the record of the shard's owner
	unrelatedKey  = "c/other" // a record that never changes
	modelMachines = 4
	maxTerms      = 6
)

// model is a shard whose owners replace each other. All messages are held until they are
// delivered, lost, repeated or delivered late, and any owner may act at any time, superseded or
// not: that covers every pause of a process.
type model struct {
	choose     chooser
	fault      plantedFault
	clock      *fakes.Clock
	state      *fakes.StateService
	machines   map[string]*modelMachine
	machineIDs []string
	owners     []*modelOwner // by token, the present one last
	inFlight   inFlight
	observed   observations
	step       int64 // logical time
}

// modelMachine is the true state of a machine.
type modelMachine struct {
	exists       bool
	highestToken uint64 // that it has seen
	workToken    uint64 // the token under which its work was started; 0: it has none
}

func newModel(choose chooser, fault plantedFault) *model {
	clock := fakes.NewClock(fakes.Epoch)
	m := &model{
		choose:   choose,
		fault:    fault,
		clock:    clock,
		state:    fakes.NewStateService(clock),
		machines: map[string]*modelMachine{},
		observed: observations{recordedToken: map[string]uint64{}},
	}
	m.state.Put(unrelatedKey, []byte("{}"))
	for i := range modelMachines {
		machineID := fmt.Sprintf("i-%d", i)
		m.machineIDs = append(m.machineIDs, machineID)
		m.machines[machineID] = &modelMachine{exists: true}
	}
	m.failOver()
	return m
}

func (m *model) now() time.Time { return m.clock.Now() }

func (m *model) presentOwner() *modelOwner { return m.owners[len(m.owners)-1] }

func (m *model) chooseMachine() string { return m.machineIDs[m.choose("machine", len(m.machineIDs))] }

// failOver gives the shard to a new owner, which has still to load the log.
func (m *model) failOver() {
	token := uint64(len(m.owners) + 1)
	m.state.Put(shardKey, fmt.Appendf(nil, `{"Baton":%d}`, token))
	compare := store.VersionEquals(shardKey, m.state.Revision)
	if m.fault == writesUnfenced {
		compare = store.VersionEquals(unrelatedKey, m.state.Keys[unrelatedKey].Version)
	}
	m.owners = append(m.owners, newModelOwner(m, token, compare))
}

// act has one thing happen, drawn by its weight.
func (m *model) act() {
	m.step++
	switch m.choose("action", 9) {
	case 0:
		if len(m.owners) < maxTerms && m.choose("failover", 3) == 0 {
			m.failOver()
		}
	case 1, 2:
		if n := len(m.inFlight.stateCalls); n > 0 {
			m.deliverStateCall(m.choose("state call", n), stateCallFate(m.choose("fate", fates)))
		}
	case 3:
		if n := len(m.inFlight.deletions); n > 0 {
			m.deliverDeletion(m.choose("deletion", n), deletionFate(m.choose("fate", fates)))
		}
	case 4:
		m.machines[m.chooseMachine()].workToken = 0 // its work has ended
	default:
		m.owners[m.choose("owner", len(m.owners))].act()
	}
	m.observeRecorded()
}

// finish ends all faults, and has the present owner complete all intents.
func (m *model) finish() {
	const rounds = 60
	if m.presentOwner().superseded {
		m.failOver()
	}
	owner := m.presentOwner()
	for range rounds {
		m.step++
		m.deliverAll()
		if !owner.loaded {
			owner.load()
		}
		owner.tick()
		for len(owner.log.Ready(intentlog.Deprovision)) > 0 {
			owner.sendReady()
		}
		m.observeRecorded()
	}
	m.checkFinished()
	m.closeHistory()
}
