// Package fleet implements the autoscaler: it provisions the machines that a shard's workload needs
// and deprovisions idle and failed ones. Provisioning requests, and terminations while the intent
// log is in force, are recorded in the state service before the cloud is called, so that the shard's
// next lease holder can complete them.
package fleet

import (
	"log/slog"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Settings are the operators' settings of the autoscaler. They apply from the next Tick.
type Settings struct {
	MaxMachines int           // upper bound on the shard's machines, 0 for none
	Paused      bool          // suspends scale-out
	IdleTimeout time.Duration // idle time after which a machine is deprovisioned
}

// Options are the dependencies of an autoscaler. All are required.
type Options struct {
	Shard int
	Token uint64
	// TermCompare is the condition of all writes. It fails once the term has ended.
	TermCompare wire.Compare
	Config      config.Platform
	Cloud       cloud.Caller
	Store       store.Caller
	Log         *slog.Logger
	Registry    *worker.Registry
	Scheduler   *placement.Scheduler
	// Intents is the write-ahead log of the shard's cloud operations.
	Intents *intentlog.Log
	// OnTermLost is called when a write fails on TermCompare.
	OnTermLost func(now time.Time)
	// OnDeleted is called when the cloud confirms a machine's deletion, before the machine leaves
	// the registry.
	OnDeleted func(now time.Time, machine *worker.Machine)
	// MayBelongToOtherShard reports whether a machine that existed at existedAt belongs, or may belong,
	// to another shard.
	MayBelongToOtherShard func(host string, existedAt time.Time) bool
	// BelongsToOtherShard reports whether the provisioning record of another shard names a machine.
	BelongsToOtherShard func(host string) bool
}

// Autoscaler scales the machines of one shard during one term. It is not safe for concurrent use:
// the results of cloud and store calls must arrive on the goroutine that calls its methods.
type Autoscaler struct {
	Settings Settings
	// WorkersUnreachable suspends scale-in. It is set while no worker has contact with this process,
	// so that missing heartbeats are no evidence of a machine's failure.
	WorkersUnreachable bool

	registry      *worker.Registry
	scheduler     *placement.Scheduler
	intents       *intentlog.Log
	types         *machineTypes
	machines      *machineAdder
	registrations *registrations
	provisioner   *provisioner
	demand        *scaleOutPlanner
	lists         *listHistory
	health        *cloudHealth
	deprovisioner *deprovisioner
	inventory     *inventory

	belongsToOtherShard func(host string) bool // Options.BelongsToOtherShard
}

// New returns the autoscaler of a term that starts at now.
func New(now time.Time, options Options) *Autoscaler {
	a := &Autoscaler{
		Settings:  Settings{IdleTimeout: tuning.MachineIdleTimeout},
		registry:  options.Registry,
		scheduler: options.Scheduler,
		intents:   options.Intents,
		lists:     newListHistory(),
		health:    &cloudHealth{log: options.Log},

		belongsToOtherShard: options.BelongsToOtherShard,
	}
	limited := newRateLimitedCloud(options.Cloud, options.Config.Cloud.RPS, a.health)
	records := &termStore{termCompare: options.TermCompare, call: options.Store, onTermLost: options.OnTermLost}
	a.types = &machineTypes{cloud: limited, store: records, registry: options.Registry, scheduler: options.Scheduler,
		recordsTypes: options.Shard == 0, byName: map[string]wire.MachineType{}, recorded: map[string]string{}}
	a.machines = &machineAdder{registry: options.Registry, types: a.types, intents: options.Intents}
	a.provisioner = a.newProvisioner(options, limited, records)
	a.registrations = a.newRegistrations(options)
	a.demand = &scaleOutPlanner{cloudLimits: options.Config.Cloud, stateLimits: options.Config.State,
		registry: options.Registry, scheduler: options.Scheduler, types: a.types, provisioner: a.provisioner,
		termStartedAt: now}
	a.deprovisioner = &deprovisioner{token: options.Token, workerLease: config.Seconds(options.Config.Workers.LeaseS),
		cloud: limited, intents: options.Intents, registry: options.Registry, scheduler: options.Scheduler,
		types: a.types, provisioner: a.provisioner, lists: a.lists,
		mayBelongToOtherShard: options.MayBelongToOtherShard,
		onDeleted:             options.OnDeleted, forget: a.forgetMachine, termStartedAt: now}
	a.inventory = &inventory{cloudLimits: options.Config.Cloud, cloud: limited, machines: a.machines,
		provisioner: a.provisioner, deprovisioner: a.deprovisioner, lists: a.lists,
		adoptsOrphans: options.Shard == 0, mayBelongToOtherShard: options.MayBelongToOtherShard}
	return a
}

func (a *Autoscaler) newProvisioner(options Options, limited *rateLimitedCloud, records *termStore) *provisioner {
	return &provisioner{
		shard: options.Shard, token: options.Token, log: options.Log,
		cloud: limited, store: records, intents: options.Intents, machines: a.machines,
		mayBelongToOtherShard: options.MayBelongToOtherShard,
		onRecordDurable:       a.registerContacted,
		requests:              map[string]*provisioningRequest{},
		byHost:                map[string]*provisioningRequest{},
		maxMachinesPerRequest: tuning.MaxMachinesPerRequest,
		noCapacityUntil:       map[machineKind]time.Time{},
	}
}

func (a *Autoscaler) newRegistrations(options Options) *registrations {
	pages := store.NewPages(store.PagesOptions{
		Prefix:        RegistrationPrefix(options.Shard),
		ValueKB:       options.Config.State.RecordLimits().ValueKB,
		WriteInterval: tuning.RegistrationInterval,
		Priority:      store.PriorityTerm,
		TermCompare:   options.TermCompare,
		StateCall:     options.Store,
		Log:           options.Log,
		OnTermLost:    options.OnTermLost,
	})
	return &registrations{machines: a.machines, provisioner: a.provisioner, scheduler: options.Scheduler,
		pages: pages, submitted: map[string]bool{}}
}

// ApplyMachineType adds a machine type from its record, whose stored value is raw.
func (a *Autoscaler) ApplyMachineType(machineType wire.MachineType, raw string) {
	a.types.apply(machineType, raw)
}

// LoadRequest recovers a provisioning record of an earlier term.
func (a *Autoscaler) LoadRequest(now time.Time, item wire.KeyValue) { a.provisioner.load(now, item) }

// LoadRegistrations recovers the registrations of earlier terms from their pages. All provisioning
// records and the intent log must be loaded before.
func (a *Autoscaler) LoadRegistrations(now time.Time, items []wire.KeyValue) {
	a.registrations.load(now, items)
	a.machines.resumeTerminations(now)
}

// HandleHeartbeat processes a heartbeat that the registry has applied. It resumes a termination of an
// earlier term, adopts a machine that no record names, and registers an unregistered machine.
func (a *Autoscaler) HandleHeartbeat(now time.Time, machine *worker.Machine) {
	a.machines.resumeTermination(now, machine)
	if !machine.Recorded && !machine.Registered {
		a.provisioner.adopt(now, machine)
	}
	a.registrations.register(now, machine)
}

// RegisterOnFirstContact registers a booting machine on its first heartbeat. The heartbeat may be a
// delayed copy and is not applied, but early registration lets the machine get tasks as soon as its
// heartbeats are applied.
func (a *Autoscaler) RegisterOnFirstContact(now time.Time, machine *worker.Machine, heartbeat *wire.Heartbeat) {
	if machine.State == worker.Booting {
		machine.Address = heartbeat.Address
		a.registrations.register(now, machine)
	}
}

// Tick starts the writes and cloud calls that are due. It must be called regularly.
func (a *Autoscaler) Tick(now time.Time) {
	a.types.writeChanges(now)
	a.registrations.pages.Tick(now)
	a.provisioner.tick(now)
	a.intents.Tick(now)
	a.releaseToOtherShards(now)
	a.scaleIn(now)
	a.deprovisioner.deleteMachines(now)
	a.types.refresh(now)
	a.inventory.readNextPage(now)
	a.demand.scaleOutIfDue(now, a.Settings)
}

// releaseToOtherShards removes the machines from the registry that the records of other shards name. A
// shard accepts the heartbeats of a machine that no record names yet, and gives it no tasks.
func (a *Autoscaler) releaseToOtherShards(now time.Time) {
	for _, machine := range a.registry.All() {
		if machine.Recorded || machine.Registered || machine.State == worker.Deleting {
			continue
		}
		if a.belongsToOtherShard(machine.Host) {
			a.scheduler.RemoveMachine(now, machine)
			a.lists.forget(machine.Host)
			a.registry.Release(machine, "a record of another shard names it")
		}
	}
}

func (a *Autoscaler) scaleIn(now time.Time) {
	if !a.WorkersUnreachable {
		a.deprovisioner.scaleIn(now, a.Settings.IdleTimeout)
	}
}

// registerContacted registers the machines among hosts that sent a heartbeat before their record was
// durable.
func (a *Autoscaler) registerContacted(now time.Time, hosts []string) {
	for _, host := range hosts {
		if machine := a.registry.Get(host); machine != nil && machine.SeenIncarnation > 0 {
			a.registrations.register(now, machine)
		}
	}
}

// forgetMachine removes a deleted machine from the list history, the registrations and its record.
func (a *Autoscaler) forgetMachine(now time.Time, host string) {
	a.lists.forget(host)
	a.registrations.forget(host)
	a.provisioner.removeHost(now, host)
}
