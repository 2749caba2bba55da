package intentlog_test

import (
	"fmt"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// chooser returns a number in [0, n). The label names the choice in the report of a failure.
type chooser func(label string, n int) int

// injectedFault is a bug injected into the holders to test the checks.
type injectedFault int

const (
	noFault            injectedFault = iota
	callsBeforeDurable               // calls are made before the entry is durable
	skipsRecovery                    // intents that earlier terms recorded are not recovered
	forgetsUnknown                   // an intent whose call was not answered is forgotten
	writesUnfenced                   // writes are not conditioned on the term
)

const (
	shardKey      = "c/b/0"   // the record of the shard's lease
	unrelatedKey  = "c/other" // a record that never changes
	modelMachines = 4
	maxTerms      = 6
)

// model is a shard with successive lease holders. Each message is held until it is delivered, lost,
// duplicated or delayed. Any holder, superseded or not, may act at any time, which models pauses of
// its process.
type model struct {
	choose     chooser
	fault      injectedFault
	clock      *fakes.Clock
	state      *fakes.StateService
	machines   map[string]*modelMachine
	machineIDs []string
	holders    []*modelHolder // by token, the current one last
	inFlight   inFlight
	observed   observations
	step       int64 // logical time
}

// modelMachine is the true state of a machine.
type modelMachine struct {
	exists       bool
	highestToken uint64 // highest token that the machine has seen
	workToken    uint64 // token under which its work was started, 0 without work
}

func newModel(choose chooser, fault injectedFault) *model {
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
	m.failover()
	return m
}

func (m *model) now() time.Time { return m.clock.Now() }

func (m *model) currentHolder() *modelHolder { return m.holders[len(m.holders)-1] }

func (m *model) chooseMachine() string { return m.machineIDs[m.choose("machine", len(m.machineIDs))] }

// failover grants the shard to a new holder, which has yet to load the log.
func (m *model) failover() {
	token := uint64(len(m.holders) + 1)
	m.state.Put(shardKey, fmt.Appendf(nil, `{"Baton":%d}`, token))
	compare := store.VersionEquals(shardKey, m.state.Revision)
	if m.fault == writesUnfenced {
		compare = store.VersionEquals(unrelatedKey, m.state.Keys[unrelatedKey].Version)
	}
	m.holders = append(m.holders, newModelHolder(m, token, compare))
}

// randomAction executes an action, drawn by its weight.
func (m *model) randomAction() {
	m.step++
	switch m.choose("action", 9) {
	case 0:
		if len(m.holders) < maxTerms && m.choose("failover", 3) == 0 {
			m.failover()
		}
	case 1, 2:
		if n := len(m.inFlight.stateCalls); n > 0 {
			m.deliverStateCall(m.choose("state call", n), stateCallOutcome(m.choose("outcome", deliveryOutcomes)))
		}
	case 3:
		if n := len(m.inFlight.deletions); n > 0 {
			m.deliverDeletion(m.choose("deletion", n), deletionOutcome(m.choose("outcome", deliveryOutcomes)))
		}
	case 4:
		m.machines[m.chooseMachine()].workToken = 0 // the work has ended
	default:
		m.holders[m.choose("holder", len(m.holders))].randomAction()
	}
	m.observeAcknowledged()
}

// finish stops injecting faults and lets the current holder complete all intents.
func (m *model) finish() {
	const rounds = 60
	if m.currentHolder().superseded {
		m.failover()
	}
	holder := m.currentHolder()
	for range rounds {
		m.step++
		m.deliverAll()
		if !holder.loaded {
			holder.load()
		}
		holder.tick()
		for len(holder.log.Ready(intentlog.Deprovision)) > 0 {
			holder.callReady()
		}
		m.observeAcknowledged()
	}
	m.checkFinished()
	m.closeHistory()
}
