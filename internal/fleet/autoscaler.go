package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Settings are the operators' settings that the fleet heeds.
type Settings struct {
	MaxMachines int           // 0: no bound of ours
	Paused      bool          // rent nothing
	IdleTimeout time.Duration // how long a machine may stand idle
}

// Key prefixes: all blocks' rentals, and the machine types among the control
// records.
const (
	ProvisioningPrefix = "h/"
	machineTypePrefix  = "c/f/"
)

// ShardProvisioningPrefix is the key prefix of a block's rental records.
func ShardProvisioningPrefix(shard int) string {
	return fmt.Sprintf("%s%d/", ProvisioningPrefix, shard)
}

// MachineTypeRecord is a machine type as recorded for all nodes. Each tells how many there
// are: until a node knows them all, it cannot say that a job fits none.
type MachineTypeRecord struct {
	wire.MachineType
	Total int `json:"Of"`
}

// RegistrationPrefix is the key prefix of the pages that name a block's machines that may
// have been given tasks, with their workers' addresses. A machine is entered
// before its first task, so a successor need not wait for one that is not named.
func RegistrationPrefix(shard int) string { return fmt.Sprintf("u/%d/", shard) }

// MachineTypeName tells whether a control key holds a machine type, and which.
func MachineTypeName(key string) (string, bool) { return strings.CutPrefix(key, machineTypePrefix) }

// Autoscaler is a block's part in the cloud during one tenure.
type Autoscaler struct {
	Settings             Settings
	WorkersUnreachable   bool // no worker reaches this node: silence says nothing about a machine
	shard                int
	token                uint64
	termCompare          wire.Compare
	config               config.Platform
	cloud                CloudCaller
	store                store.Caller
	log                  *slog.Logger
	registry             *worker.Registry
	scheduler            *placement.Scheduler
	intents              *intentlog.Log
	onTermLost           func(now time.Time)
	onDeleted            func(now time.Time, machine *worker.Machine)
	ownedByOtherShard    func(host string, there time.Time) bool
	machineTypes         map[string]wire.MachineType
	recordedMachineTypes map[string]string     // machine types as recorded for all nodes
	machineTypeWriters   []*store.DesiredValue // of the machine types
	registrations        *store.Pages
	registrationStarted  map[string]bool // machines that are being, or have been, entered as used
	rateLimiter          *rate.Limiter
	retryBackoff         *backoff.ExponentialBackOff // of calls that fail in a row
	startedAt            time.Time

	requests              map[string]*provisioningRequest
	unreadableRecords     int                             // rental records that cannot be read: their machines are not known
	maxMachinesPerRequest int                             // machines that one rental may have, as far as its record's size goes
	requestByHost         map[string]*provisioningRequest // machines by their rentals
	sequence              int
	noCapacityUntil       map[string]time.Time
	deletionInFlight      bool
	deletionRetryAt       time.Time

	machineTypesDueAt time.Time
	scaleOutDueAt     time.Time
	listed            map[string]bool // hosts seen in some list
	missedLists       map[string]int  // lists in a row that a once listed host was not in
	listProgress      listProgress
	fewUnreconciled   bool // so few machines are unheard that what waits for them is worth more
}

// Options are what the slice needs of the tenure that it belongs to.
type Options struct {
	Shard       int
	Token       uint64
	TermCompare wire.Compare // the condition of each write
	Config      config.Platform
	Cloud       CloudCaller
	Store       store.Caller
	Log         *slog.Logger
	Registry    *worker.Registry
	Scheduler   *placement.Scheduler
	// Intents is the log of what is asked of the cloud.
	Intents *intentlog.Log
	// OnTermLost is told when the tenure is over, Gone when a machine's deletion was answered.
	OnTermLost func(now time.Time)
	OnDeleted  func(now time.Time, machine *worker.Machine)
	// OwnedByOtherShard tells whether a machine that was there at some time is or may turn out to be
	// another block's.
	OwnedByOtherShard func(host string, there time.Time) bool
}

// New makes the slice of one tenure.
func New(now time.Time, options Options) *Autoscaler {
	rps := options.Config.Cloud.RPS * tuning.CloudRateShare
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = tuning.CloudRetryInitial, tuning.CloudRetryMax
	retryBackoff.RandomizationFactor = 0 // one holder asks: there is no crowd to part, and tests repeat
	retryBackoff.Reset()
	a := &Autoscaler{
		Settings: Settings{IdleTimeout: tuning.MachineIdleTimeout},
		shard:    options.Shard, token: options.Token, termCompare: options.TermCompare, config: options.Config, cloud: options.Cloud, store: options.Store, log: options.Log, registry: options.Registry, scheduler: options.Scheduler,
		intents: options.Intents, onTermLost: options.OnTermLost, onDeleted: options.OnDeleted, ownedByOtherShard: options.OwnedByOtherShard, machineTypes: map[string]wire.MachineType{}, recordedMachineTypes: map[string]string{},
		rateLimiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), retryBackoff: retryBackoff, startedAt: now,
		maxMachinesPerRequest: tuning.MaxMachinesPerRequest,
		requests:              map[string]*provisioningRequest{}, requestByHost: map[string]*provisioningRequest{}, noCapacityUntil: map[string]time.Time{},
		listed: map[string]bool{}, missedLists: map[string]int{}, registrationStarted: map[string]bool{},
	}
	a.registrations = store.NewPages(store.PagesOptions{
		Prefix:        RegistrationPrefix(options.Shard),
		ValueKB:       options.Config.State.StoredLimits().ValueKB,
		WriteInterval: tuning.RegistrationInterval,
		Priority:      store.PriorityTerm,
		TermCompare:   options.TermCompare,
		StateCall:     options.Store,
		Log:           options.Log,
		OnTermLost:    options.OnTermLost,
	})
	return a
}

// sortedRequests lists the rentals by name.
func (a *Autoscaler) sortedRequests() []*provisioningRequest {
	requests := make([]*provisioningRequest, 0, len(a.requests))
	for _, name := range slices.Sorted(maps.Keys(a.requests)) {
		requests = append(requests, a.requests[name])
	}
	return requests
}

// LoadRegistrations takes over the pages that name the machines used by earlier tenures, after
// their rentals. One whose rental is gone is gone itself, if all rentals could be read.
func (a *Autoscaler) LoadRegistrations(now time.Time, items []wire.KeyValue) {
	a.registrations.Load(items, func(host string, raw json.RawMessage) {
		machine := a.registry.Get(host)
		if machine == nil && a.unreadableRecords > 0 {
			machine = a.addUnrecorded(now, host)
		}
		if machine == nil || !machine.Recorded && a.unreadableRecords == 0 {
			a.registrations.Delete(host)
			return
		}
		a.registrationStarted[host], machine.Registered = true, true
		if machine.State == worker.Booting {
			_ = json.Unmarshal(raw, &machine.Address) // without one it is heard when it reports
			a.registry.SetState(now, machine, worker.Unreconciled, "used by an earlier tenure")
		}
	})
	if a.registrations.Unreadable() > 0 {
		a.assumeRegistered(now)
	}
	a.recoverTerminations(now)
}

// assumeRegistered takes all machines for ones that may have tasks: pages that name those that
// do cannot be read.
func (a *Autoscaler) assumeRegistered(now time.Time) {
	for _, machine := range a.registry.All() {
		if machine.State == worker.Booting {
			a.registry.SetState(now, machine, worker.Unreconciled, "may have been used by an earlier tenure")
		}
	}
}

// addUnrecorded makes a machine known that was used and whose rental cannot be read. Its
// type is not known, so it counts as the largest.
func (a *Autoscaler) addUnrecorded(now time.Time, host string) *worker.Machine {
	machine := a.addMachine(now, host, worker.Booting, "", "", false)
	for _, machineType := range a.machineTypes {
		machine.Capacity = machine.Capacity.Max(quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb})
	}
	return machine
}

// addMachine makes a machine known to the registry.
func (a *Autoscaler) addMachine(now time.Time, host string, state worker.State, machineType, zone string, spot bool) *worker.Machine {
	machine := a.registry.Get(host)
	if machine == nil {
		machine = a.registry.Add(now, host, state)
		machine.IdleSince = now
	}
	machine.Type, machine.Zone, machine.Spot = machineType, zone, spot
	a.setCapacity(machine)
	a.applyRecoveredIntent(now, machine)
	return machine
}

func (a *Autoscaler) setCapacity(machine *worker.Machine) {
	if machineType, ok := a.machineTypes[machine.Type]; ok {
		if capacity := (quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}); machine.Capacity != capacity {
			machine.Capacity, machine.ImagePullGBPerS = capacity, machineType.FetchGbPerS
			a.scheduler.MarkMachineChanged(machine)
		}
	}
}

// ApplyMachineType takes note of a machine type as recorded for all nodes.
func (a *Autoscaler) ApplyMachineType(machineType wire.MachineType, raw string) {
	a.recordedMachineTypes[machineType.Name] = raw
	if _, ok := a.machineTypes[machineType.Name]; !ok {
		a.machineTypes[machineType.Name] = machineType
	}
	for _, machine := range a.registry.All() {
		a.setCapacity(machine)
	}
}

// HandleHeartbeat takes note that a machine has reported: one that nobody expected
// is adopted, and one not used before is entered as used.
func (a *Autoscaler) HandleHeartbeat(now time.Time, machine *worker.Machine) {
	a.applyRecoveredIntent(now, machine)
	if !machine.Recorded && !machine.Registered {
		a.adopt(now, machine)
	}
	a.register(now, machine)
}

// RegisterOnFirstContact takes note of a machine's first word, which may be an old copy: it
// is entered as used all the same, so that it can be given tasks as soon as it
// is heard. A record may name too many, never too few.
func (a *Autoscaler) RegisterOnFirstContact(now time.Time, machine *worker.Machine, heartbeat *wire.Heartbeat) {
	if machine.State == worker.Booting {
		machine.Address = heartbeat.Address
		a.register(now, machine)
	}
}

func (a *Autoscaler) register(now time.Time, machine *worker.Machine) {
	// Its rental's record comes first: a successor that found the machine among
	// the used ones and in no rental would take it for gone.
	if request := a.requestByHost[machine.Host]; machine.Registered || machine.State == worker.Deleting || a.registrationStarted[machine.Host] || request == nil || !request.recordDurable {
		return
	}
	a.setCapacity(machine)
	a.registrationStarted[machine.Host] = true
	a.registrations.Put(machine.Host, machine.Address, func(now time.Time) {
		machine.Registered = true
		a.scheduler.MarkMachineChanged(machine)
	})
	a.registrations.Tick(now)
}

// callCloud passes a call on and keeps count of failures in a row.
func (a *Autoscaler) callCloud(call CloudCall, callback func(now time.Time, result CloudResult)) {
	a.cloud(call, func(now time.Time, result CloudResult) {
		if result.Status == 200 || result.Error == NoCapacity {
			a.retryBackoff.Reset()
		}
		callback(now, result)
	})
}

// nextRetry is when a failed call may be made again.
func (a *Autoscaler) nextRetry(now time.Time) time.Time { return now.Add(a.retryBackoff.NextBackOff()) }

func (a *Autoscaler) allowCall(now time.Time) bool { return a.rateLimiter.AllowN(now, 1) }

// Tick starts what is due.
func (a *Autoscaler) Tick(now time.Time) {
	for _, writer := range a.machineTypeWriters {
		writer.Tick(now)
	}
	a.registrations.Tick(now)
	for _, request := range a.sortedRequests() {
		request.writer.Tick(now)
		a.closeRefused(now, request)
		if request.state == provisioningRequested && !request.inFlight && !now.Before(request.retryAt) && a.allowCall(now) {
			a.sendRequest(now, request)
		}
	}
	a.intents.Tick(now)
	a.scaleIn(now)
	a.deleteMachines(now)
	if !now.Before(a.machineTypesDueAt) && a.allowCall(now) {
		a.refreshMachineTypes(now)
	}
	a.continueList(now)
	// Machines that this tenure has not heard yet look like none: hiring then
	// would replace the whole fleet at each takeover.
	if len(a.machineTypes) > 0 && !now.Before(a.scaleOutDueAt) && (a.scheduler.Reconciled() || now.Sub(a.startedAt) > tuning.ScaleOutDelay) {
		a.scaleOutDueAt = now.Add(tuning.ScaleOutInterval)
		a.scaleOut(now)
	}
}

func (a *Autoscaler) refreshMachineTypes(now time.Time) {
	a.machineTypesDueAt = now.Add(tuning.CloudTimeout + tuning.CloudRetryInitial)
	a.callCloud(CloudCall{Operation: ListMachineTypes}, func(now time.Time, result CloudResult) {
		if result.Status != 200 {
			a.machineTypesDueAt = a.nextRetry(now)
			return
		}
		a.machineTypesDueAt = now.Add(tuning.MachineTypesInterval)
		for _, machineType := range result.MachineTypes {
			a.machineTypes[machineType.Name] = machineType
			if a.shard != 0 {
				continue
			}
			// Prices move all the time; the record is for what nodes need to
			// check submissions.
			machineType.Price, machineType.SpotPrice = 0, 0
			record := MachineTypeRecord{machineType, len(result.MachineTypes)}
			raw, _ := json.Marshal(record)
			if old, ok := a.recordedMachineTypes[machineType.Name]; ok && old == string(raw) {
				continue
			}
			a.recordedMachineTypes[machineType.Name] = string(raw)
			writer := store.NewDesiredValue(store.DesiredValueOptions{
				Key:         machineTypePrefix + machineType.Name,
				Priority:    store.PriorityTerm,
				TermCompare: a.termCompare,
				StateCall:   a.store,
				OnDurable:   func(time.Time, int) {},
				OnTermLost:  a.onTermLost,
			})
			writer.Set(record)
			a.machineTypeWriters = append(a.machineTypeWriters, writer)
			writer.Tick(now)
		}
		for _, machine := range a.registry.All() {
			a.setCapacity(machine)
		}
	})
}
