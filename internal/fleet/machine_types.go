package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// machineTypes caches the machine types that the cloud offers. The lease holder of the first shard
// also records them for all controllers.
type machineTypes struct {
	cloud     *rateLimitedCloud
	store     *termStore
	registry  *worker.Registry
	scheduler *placement.Scheduler
	// recorder is set on the one shard that records the types.
	recorder bool

	byName    map[string]wire.MachineType
	recorded  map[string]string     // stored value by type name
	writers   []*store.DesiredValue // in the order of the changes
	refreshAt time.Time
}

// apply adds a machine type from its record. It keeps a type that is present, since records have no
// prices.
func (t *machineTypes) apply(machineType wire.MachineType, raw string) {
	t.recorded[machineType.Name] = raw
	if _, ok := t.byName[machineType.Name]; !ok {
		t.byName[machineType.Name] = machineType
	}
	t.setCapacities()
}

// names returns the sorted names of the types.
func (t *machineTypes) names() []string { return slices.Sorted(maps.Keys(t.byName)) }

// bootTime returns the usual boot time of a type, 0 for an unknown type.
func (t *machineTypes) bootTime(name string) time.Duration {
	return config.Seconds(t.byName[name].BootTimeS)
}

func capacityOf(machineType wire.MachineType) quota.Resources {
	return quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGB}
}

// setCapacity sets a machine's capacity to that of its type, if the type is known.
func (t *machineTypes) setCapacity(machine *worker.Machine) {
	machineType, ok := t.byName[machine.Type]
	if capacity := capacityOf(machineType); ok && machine.Capacity != capacity {
		machine.Capacity, machine.ImagePullGBPerS = capacity, machineType.ImagePullGBPerS
		t.scheduler.MarkMachineChanged(machine)
	}
}

func (t *machineTypes) setCapacities() {
	for _, machine := range t.registry.All() {
		t.setCapacity(machine)
	}
}

// writeChanges writes the records that are not durable yet.
func (t *machineTypes) writeChanges(now time.Time) {
	for _, writer := range t.writers {
		writer.Tick(now)
	}
}

// refresh lists the cloud's machine types when a refresh is due.
func (t *machineTypes) refresh(now time.Time) {
	if now.Before(t.refreshAt) || !t.cloud.allow(now) {
		return
	}
	t.refreshAt = now.Add(tuning.CloudTimeout + tuning.CloudBackoffInitial)
	t.cloud.call(cloud.Call{Operation: cloud.ListMachineTypes}, t.handleList)
}

func (t *machineTypes) handleList(now time.Time, result cloud.Result) {
	response, err := result.Response()
	if err != nil {
		t.refreshAt = t.cloud.nextRetry(now)
		return
	}
	t.refreshAt = now.Add(tuning.MachineTypesInterval)
	for _, machineType := range response.MachineTypes {
		t.byName[machineType.Name] = machineType
		if t.recorder {
			t.record(now, machineType, len(response.MachineTypes))
		}
	}
	t.setCapacities()
}

// record stores one of total machine types unless the stored record is the same. The record omits
// prices, which change often and are not needed to validate submissions.
func (t *machineTypes) record(now time.Time, machineType wire.MachineType, total int) {
	machineType.Price, machineType.SpotPrice = 0, 0
	record := MachineTypeRecord{MachineType: machineType, Total: total}
	raw, _ := json.Marshal(record)
	if old, ok := t.recorded[machineType.Name]; ok && old == string(raw) {
		return
	}
	t.recorded[machineType.Name] = string(raw)
	writer := t.store.newValue(store.DesiredValueOptions{
		Key:       machineTypePrefix + machineType.Name,
		OnDurable: func(time.Time, int) {},
	})
	writer.Set(record)
	t.writers = append(t.writers, writer)
	writer.Tick(now)
}
