package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// ProvisioningRecord is a rental request's record, durable before the cloud is asked and until the
// last of its machines is gone.
type ProvisioningRecord struct {
	Type   string `json:"Build"`
	Zone   string `json:"Yard"`
	Spot   bool   `json:"Loaners"`
	Number int
	Hosts  []string `json:",omitempty"`
}

type provisioningState int

const (
	provisioningRecording provisioningState = iota // its name is being made durable
	provisioningRequested                          // the cloud is being asked, as often as it takes
	provisioningRefused                            // the cloud had none; a late repeat of the call may still be granted
	provisioningGranted                            // its machines are known
	provisioningClosed                             // nothing left of it; its record goes
)

func (s provisioningState) String() string {
	return [...]string{"recording", "asking", "refused", "granted", "empty"}[s]
}

type provisioningRequest struct {
	name          string
	record        ProvisioningRecord
	state         provisioningState
	writer        *store.DesiredValue
	inFlight      bool
	retryAt       time.Time
	recordDurable bool // its record names its machines durably
	// intent is the intended rental; the record is its entry.
	intent          *intentlog.Intent
	answeredAt      time.Time        // when the cloud last answered
	deletedMachines []deletedMachine // whose removal from the record is not durable yet
}

// deletedMachine is a machine that is gone and the version of the rental's record from which
// on it is not named.
type deletedMachine struct {
	host    string
	version int
}

// pending tells whether machines are to be expected of a rental.
func (r *provisioningRequest) pending() bool {
	return r.state == provisioningRecording || r.state == provisioningRequested
}

func (a *Autoscaler) setRequestState(request *provisioningRequest, state provisioningState, reason string) {
	if request.state != state {
		a.log.Debug("rental", "name", request.name, "from", request.state.String(), "to", state.String(), "why", reason)
	}
	request.state = state
}

func (a *Autoscaler) openWriter(request *provisioningRequest, version uint64) {
	file := store.DesiredValueOptions{Key: ShardProvisioningPrefix(a.shard) + request.name, KeyVersion: version, Priority: store.PriorityTerm,
		TermCompare: a.termCompare, StateCall: a.store, OnTermLost: a.onTermLost}
	file.OnDurable = func(now time.Time, version int) {
		a.forgetDeleted(request, version)
		switch request.state {
		case provisioningRecording:
			a.intents.MarkRecorded(request.intent)
			a.setRequestState(request, provisioningRequested, "recorded")
		case provisioningGranted:
			request.recordDurable = true
			for _, host := range request.record.Hosts {
				if machine := a.registry.Get(host); machine != nil && machine.SeenIncarnation > 0 {
					a.register(now, machine)
				}
			}
		case provisioningClosed:
			if request.writer.Durable() {
				delete(a.requests, request.name)
			}
		}
	}
	file.OnTooLarge = func(now time.Time) bool { return a.splitRecord(now, request) }
	request.writer = store.NewDesiredValue(file)
}

// splitRecord gives half of a rental's machines a record of their own: the service has refused
// one that names them all, by a limit that nobody announced. Until its record is durable
// no machine is used, so one that a crash leaves out of both is adopted as unexpected.
func (a *Autoscaler) splitRecord(now time.Time, request *provisioningRequest) bool {
	count := len(request.record.Hosts)
	if request.state != provisioningGranted || count < 2 {
		return false
	}
	a.maxMachinesPerRequest = min(a.maxMachinesPerRequest, count/2)
	a.log.Warn("the state service has refused a rental's record for its size", "name", request.name, "machines", count)
	a.sequence++
	half := &provisioningRequest{name: a.requestName(), record: request.record}
	half.record.Hosts, half.record.Number = request.record.Hosts[count/2:], count-count/2
	request.record.Hosts = request.record.Hosts[:count/2]
	a.openWriter(half, 0)
	a.setRequestState(half, provisioningGranted, "divided")
	a.requests[half.name] = half
	for _, host := range half.record.Hosts {
		a.requestByHost[host] = half
	}
	for _, part := range []*provisioningRequest{request, half} {
		part.writer.Set(part.record)
		part.writer.Tick(now)
	}
	return true
}

// forgetDeleted forgets the actions that ended machines which a durable version of the
// rental's record does not name any more.
func (a *Autoscaler) forgetDeleted(request *provisioningRequest, version int) {
	waiting := request.deletedMachines[:0]
	for _, deleted := range request.deletedMachines {
		if deleted.version > version {
			waiting = append(waiting, deleted)
			continue
		}
		a.forgetTermination(deleted.host)
	}
	request.deletedMachines = waiting
	if request.intent != nil {
		a.intents.Forget(request.intent)
	}
}

// forgetTermination forgets the settled action that ended a machine.
func (a *Autoscaler) forgetTermination(host string) {
	for _, operation := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if intent := a.intents.Get(operation, host); intent != nil {
			a.intents.Forget(intent)
		}
	}
}

// tokenOfRequest is the token of the tenure that made a rental's name, 0 if it is of another form.
func tokenOfRequest(name string) uint64 {
	var shard, number int
	var token uint64
	if _, err := fmt.Sscanf(name, "b%d-%d-%d", &shard, &token, &number); err != nil {
		return 0
	}
	return token
}

func (a *Autoscaler) requestName() string {
	return fmt.Sprintf("b%d-%d-%d", a.shard, a.token, a.sequence)
}

// LoadRequest takes over a rental record of an earlier tenure.
func (a *Autoscaler) LoadRequest(now time.Time, item wire.KeyValue) {
	name := strings.TrimPrefix(item.Key, ShardProvisioningPrefix(a.shard))
	var record ProvisioningRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		a.log.Error("rental record cannot be read", "key", item.Key, "error", err)
		a.unreadableRecords++
		return
	}
	request := &provisioningRequest{name: name, record: record}
	a.openWriter(request, item.Version)
	a.requests[name] = request
	if len(record.Hosts) == 0 {
		// The earlier holder did not get to write the answer down. Asking
		// again by the same name tells it, or rents the machines now.
		request.intent = a.intents.RecoverElsewhere(intentlog.Provision, name, tokenOfRequest(name))
		a.setRequestState(request, provisioningRequested, "taken over without an answer")
		return
	}
	a.setRequestState(request, provisioningGranted, "taken over")
	request.recordDurable = true
	for _, host := range record.Hosts {
		a.requestByHost[host] = request
		a.addMachine(now, host, worker.Booting, record.Type, record.Zone, record.Spot).Recorded = true
	}
}

// RecordedHosts tells of a rental record whose block's it is and which machines it names,
// none while it waits for them.
func RecordedHosts(item wire.KeyValue) (shard int, hosts []string) {
	shardText, _, _ := strings.Cut(strings.TrimPrefix(item.Key, ProvisioningPrefix), "/")
	var record ProvisioningRecord
	shard, err := strconv.Atoi(shardText)
	if err != nil || json.Unmarshal(item.Value, &record) != nil {
		return 0, nil
	}
	return shard, record.Hosts
}

// UnansweredRequest tells whether a rental record is one of a block's that names no machines yet,
// and under which token it was entered.
func UnansweredRequest(item wire.KeyValue, shard int) (name string, token uint64, pending bool) {
	name, ok := strings.CutPrefix(item.Key, ShardProvisioningPrefix(shard))
	if !ok {
		return "", 0, false
	}
	var record ProvisioningRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return "", 0, false
	}
	return name, tokenOfRequest(name), len(record.Hosts) == 0
}

// hasPendingRequests tells whether some rental's machines are not known yet.
func (a *Autoscaler) hasPendingRequests() bool {
	return slices.ContainsFunc(a.sortedRequests(), (*provisioningRequest).pending)
}

// sendRequest asks the cloud for a rental's machines. The name stays the same until the
// answer is certain: repeating it rents nothing twice.
func (a *Autoscaler) sendRequest(now time.Time, request *provisioningRequest) {
	if !a.intents.StartCall(request.intent) {
		return
	}
	request.inFlight = true
	a.callCloud(CloudCall{Operation: CreateMachines, Request: wire.ProvisionRequest{Name: request.name, Type: request.record.Type, Zone: request.record.Zone, Spot: request.record.Spot, Count: request.record.Number}},
		func(now time.Time, result CloudResult) {
			request.inFlight, request.answeredAt = false, now
			a.intents.FinishCall(request.intent, result.outcome())
			capacityKey := request.capacityKey()
			switch {
			case result.Status == 200:
				a.handleGrant(now, request, result.Hosts)
				if len(result.Hosts) < request.record.Number {
					a.noCapacityUntil[capacityKey] = now.Add(tuning.NoCapacityPause)
				}
			case result.Status == 503 && result.Error == NoCapacity:
				a.noCapacityUntil[capacityKey] = now.Add(tuning.NoCapacityPause)
				a.handleRefusal(now, request)
			case result.Status == 400:
				a.log.Error("rental refused as malformed", "name", request.name, "type", request.record.Type)
				a.noCapacityUntil[capacityKey] = now.Add(tuning.NoCapacityPause)
				a.closeRequest(now, request, "malformed")
			default:
				request.retryAt = a.nextRetry(now)
			}
		})
}

// handleRefusal ends a rental of which the cloud had none. While duties are logged its name is
// kept for as long as a repeat of the call may come late and be granted: the next rental
// of the kind asks by the same name, and so does whoever finds machines that no record
// explains.
func (a *Autoscaler) handleRefusal(now time.Time, request *provisioningRequest) {
	if a.intents.Durable() {
		a.setRequestState(request, provisioningRefused, "no capacity")
		return
	}
	a.closeRequest(now, request, "no capacity")
}

// closeRefused ends a refused rental of which no call can come late any more.
func (a *Autoscaler) closeRefused(now time.Time, request *provisioningRequest) {
	if request.state == provisioningRefused && now.Sub(request.answeredAt) > tuning.LateCallWindow {
		a.closeRequest(now, request, "no capacity")
	}
}

// retryRefused asks for a refused rental of a kind once more, and tells whether there is one
// that the cloud has not just answered.
func (a *Autoscaler) retryRefused(now time.Time, capacityKey string, maxMachines int) *provisioningRequest {
	for _, request := range a.sortedRequests() {
		if request.state == provisioningRefused && request.capacityKey() == capacityKey && request.record.Number <= maxMachines && now.Sub(request.answeredAt) >= tuning.NoCapacityPause {
			a.setRequestState(request, provisioningRequested, "asked for again")
			return request
		}
	}
	return nil
}

// capacityKey is the kind of machine that a rental is for.
func (r *provisioningRequest) capacityKey() string {
	return capacityKeyOf(r.record.Type, r.record.Zone, r.record.Spot)
}

func (a *Autoscaler) closeRequest(now time.Time, request *provisioningRequest, reason string) {
	if request.intent != nil {
		a.intents.Complete(request.intent, reason)
	}
	a.setRequestState(request, provisioningClosed, reason)
	request.writer.Set(nil)
	request.writer.Tick(now)
}

func (a *Autoscaler) handleGrant(now time.Time, request *provisioningRequest, hosts []string) {
	a.log.Info("machines rented", "name", request.name, "type", request.record.Type, "zone", request.record.Zone, "spot", request.record.Spot, "asked", request.record.Number, "got", len(hosts))
	// some may have been adopted already, or deleted by an earlier tenure's entry
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return a.requestByHost[host] != nil || a.registry.WasDeleted(host) })
	if len(hosts) == 0 {
		a.closeRequest(now, request, "no machines")
		return
	}
	a.setRequestState(request, provisioningGranted, "answered")
	request.record.Hosts = hosts
	request.writer.Set(request.record)
	for _, host := range hosts {
		a.requestByHost[host] = request
		a.addMachine(now, host, worker.Booting, request.record.Type, request.record.Zone, request.record.Spot).Recorded = true
	}
	request.writer.Tick(now)
}

func capacityKeyOf(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%t", machineType, zone, spot)
}

// scaleOut compares the waiting work with the machines and rents the rest.
func (a *Autoscaler) scaleOut(now time.Time) {
	var offers []placement.Offer
	// as many as can be asked for by the time of the next look
	requestSize := a.maxRequestSize()
	remaining := requestSize * max(1, int(a.config.Cloud.RPS*tuning.CloudRateShare*tuning.ProvisioningRateShare*tuning.ScaleOutInterval.Seconds()))
	allowed := a.machinesAllowed()
	for _, name := range slices.Sorted(maps.Keys(a.machineTypes)) {
		machineType := a.machineTypes[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offer := placement.Offer{Type: machineType.Name, Zone: zone, Spot: spot, Price: machineType.Price, BootSeconds: machineType.BootTimeS, Available: remaining,
					Capacity: quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}}
				if spot {
					offer.Price = machineType.SpotPrice
				}
				if now.Before(a.noCapacityUntil[capacityKeyOf(machineType.Name, zone, spot)]) || a.Settings.Paused || allowed == 0 {
					offer.Available = 0
				}
				offers = append(offers, offer)
			}
		}
	}
	// machines asked for and not yet granted count as on their way
	pending := make([]int, len(offers))
	for _, request := range a.sortedRequests() {
		if request.pending() {
			for index, offer := range offers {
				if offer.Type == request.record.Type && offer.Zone == request.record.Zone && offer.Spot == request.record.Spot {
					pending[index] += request.record.Number
				}
			}
		}
	}
	needed := a.scheduler.ProvisioningDemand(now, offers, pending)
	for index, count := range needed {
		if count <= 0 {
			continue
		}
		offer := offers[index]
		count = min(count, allowed)
		allowed -= count
		for count > 0 {
			request := a.retryRefused(now, capacityKeyOf(offer.Type, offer.Zone, offer.Spot), count)
			if request == nil {
				request = a.newRequest(now, ProvisioningRecord{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Number: min(count, requestSize)})
			}
			count -= request.record.Number
		}
	}
}

// maxRequestSize is how many machines one rental request may ask for: its record names them
// all, and has to fit the state service now and after its limits fall.
func (a *Autoscaler) maxRequestSize() int {
	recordBytes := int(a.config.State.StoredLimits().ValueKB*1024*tuning.PageFillShare) - tuning.ProvisioningRecordBytes
	return max(1, min(a.maxMachinesPerRequest, recordBytes/tuning.HostNameBytes))
}

// machinesAllowed is how many machines may still be rented by the operators' bound, which
// counts those asked for and not yet granted.
func (a *Autoscaler) machinesAllowed() int {
	if a.Settings.MaxMachines <= 0 {
		return math.MaxInt
	}
	allowed := a.Settings.MaxMachines
	for _, machine := range a.registry.All() {
		if machine.State != worker.Deleting {
			allowed--
		}
	}
	for _, request := range a.requests {
		if request.pending() {
			allowed -= request.record.Number
		}
	}
	return max(0, allowed)
}

// newRequest makes a new one's name durable; the cloud is asked afterwards.
func (a *Autoscaler) newRequest(now time.Time, record ProvisioningRecord) *provisioningRequest {
	a.sequence++
	request := &provisioningRequest{name: a.requestName(), record: record}
	request.intent = a.intents.RecordElsewhere(intentlog.Provision, request.name, "waiting work")
	a.openWriter(request, 0)
	a.requests[request.name] = request
	a.log.Info("renting", "name", request.name, "type", record.Type, "zone", record.Zone, "spot", record.Spot, "number", record.Number)
	request.writer.Set(request.record)
	request.writer.Tick(now)
	return request
}
