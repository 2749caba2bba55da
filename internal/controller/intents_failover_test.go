package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// storedIntent encodes an intent in the stored format of the intent log.
type storedIntent struct {
	Duty  intentlog.Operation
	Token uint64
	At    int64
}

// storeIntentBacklog adds running machines and, for each of them, the deprovisioning intent that an
// earlier lease holder has recorded.
func (sim *simulation) storeIntentBacklog(machines int) {
	const perRequest, perPage = 50, 80
	page, names := map[string]storedIntent{}, []string{}
	for i := range machines {
		id := sim.addRunningMachine(i, smallType.Name)
		page[id] = storedIntent{Duty: intentlog.Deprovision, At: sim.clock.Now().UnixMilli()}
		names = append(names, id)
		if len(names) == perRequest {
			request := fleet.ProvisioningRecord{Type: smallType.Name, Zone: "a", Number: perRequest, Hosts: names}
			sim.putState(fmt.Sprintf("%sb0-0-%d", fleet.ShardProvisioningPrefix(0), i), request)
			names = nil
		}
		if len(page) == perPage {
			sim.putState(fmt.Sprintf("%s%d", intentlog.ShardPrefix(0), i/perPage), page)
			page = map[string]storedIntent{}
		}
	}
	sim.cloud.Created = machines
}

// addRunningMachine adds a machine with a running worker to the cloud and returns its name.
func (sim *simulation) addRunningMachine(number int, machineType string) string {
	id := fmt.Sprintf("i-%06d", number)
	host := wire.Machine{
		ID:      id,
		Address: machineAddressPrefix + id,
		Type:    machineType,
		Zone:    "a",
		State:   wire.MachineRunning,
	}
	sim.cloud.Hosts[id] = &fakes.CloudHost{CreatedAt: sim.clock.Now(), Machine: host}
	sim.startWorker(sim.cloud.Hosts[id])
	return id
}

// putState stores a value under a new key through a call to the state service.
func (sim *simulation) putState(key string, value any) {
	transaction := wire.Transaction{Writes: []wire.Write{store.Put(key, value, 0)}}
	sim.state.Call(store.Call{Op: store.OpTransaction, Transaction: transaction}, func(store.Result) {})
}

// newIntentBacklogSimulation returns a deployment with largeFleet open intents of an earlier lease
// holder and low rate limits of the cloud and the state service.
func newIntentBacklogSimulation(t *testing.T) *simulation {
	const cloudRPS, writesPerS = 4, 20
	cfg := testConfig(oneZone, steadyTeams, 4, 18)
	cfg.Platform.Cloud.RPS = cloudRPS
	sim := newSimulation(t, 5, cfg, 1, oneZoneTypes)
	sim.checks.interval = time.Second
	sim.state.PageSize, sim.cloud.PageSize = tuning.ListPageSize, tuning.CloudPageSize
	sim.enableIntentLog()
	sim.storeIntentBacklog(largeFleet)
	sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 8
	sim.state.Limits = fakes.StateLimits{
		MaxValueBytes: 4 << 10,
		MaxTxnOps:     8,
		WritesPerS:    writesPerS,
		RequestsPerS:  200,
	}
	return sim
}

// Guards against a backlog of thousands of intents that blocks jobs after a failover, or that is not
// completed in time within the rate limits of the cloud and the state service.
func TestManyIntentsAfterFailover(t *testing.T) {
	const timeout = 90 * time.Second
	sim := newIntentBacklogSimulation(t)
	throttled := 0
	check := sim.state.OnCall
	sim.state.OnCall = func(c store.Call, err error) {
		check(c, err)
		if errors.Is(err, store.ErrThrottled) {
			throttled++
		}
	}
	j := sim.submitJob(steadyJob(1), 5*time.Second)
	sim.runFor(40 * time.Second)
	if !j.Ended() {
		t.Errorf("a job has not ended after 40s, with intents still open: it is %q", j.KnownState)
	}
	startedAt := sim.clock.Now()
	for len(sim.loggedTargets()) > 0 && sim.clock.Now().Sub(startedAt) < timeout {
		sim.runFor(time.Second)
	}
	elapsed := sim.clock.Now().Sub(fakes.Epoch)
	if left := len(sim.loggedTargets()); left > 0 {
		t.Errorf("%d intents are open after %v", left, elapsed)
	}
	if n := sim.intentChecker.Executed[intentlog.Deprovision]; n < largeFleet {
		t.Errorf("%d machines were deprovisioned, want at least %d", n, largeFleet)
	}
	t.Logf("%d intents completed and removed after %v; the state service throttled %d calls",
		largeFleet, elapsed, throttled)
	sim.requireAllJobsEnd()
}
