package fleet

import (
	"errors"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// provisioner makes provisioning requests and keeps their records. A request's name is durable
// before the cloud is called and stays the same until the answer is certain, so that
// repeating the call creates no machine twice.
type provisioner struct {
	shard    int
	token    uint64
	log      *slog.Logger
	cloud    *rateLimitedCloud
	store    *termStore
	intents  *intentlog.Log
	machines *machines
	// ownedByOtherShard is Options.OwnedByOtherShard.
	ownedByOtherShard func(host string, existedAt time.Time) bool
	// onRecordDurable gets the hosts that a record now names durably.
	onRecordDurable func(now time.Time, hosts []string)

	requests map[string]*provisioningRequest // by name
	byHost   map[string]*provisioningRequest // by the hosts that their records name
	sequence int                             // of the newest request
	// unreadableRecords counts records that cannot be read: their machines are not known.
	unreadableRecords int
	// maxMachinesPerRequest falls when the state service refuses a record for its size.
	maxMachinesPerRequest int
	noCapacityUntil       map[machineKind]time.Time
}

// sorted returns the requests by name.
func (p *provisioner) sorted() []*provisioningRequest {
	requests := make([]*provisioningRequest, 0, len(p.requests))
	for _, name := range slices.Sorted(maps.Keys(p.requests)) {
		requests = append(requests, p.requests[name])
	}
	return requests
}

// hasPending reports whether the machines of some request are not known yet.
func (p *provisioner) hasPending() bool {
	return slices.ContainsFunc(p.sorted(), (*provisioningRequest).pending)
}

// hasCapacity reports whether the cloud may have machines of a kind, as far as known.
func (p *provisioner) hasCapacity(now time.Time, kind machineKind) bool {
	return !now.Before(p.noCapacityUntil[kind])
}

// tick writes records and makes the calls that are due.
func (p *provisioner) tick(now time.Time) {
	for _, request := range p.sorted() {
		request.writer.Tick(now)
		p.closeRefused(now, request)
		due := request.state == requestPending && !request.inFlight && !now.Before(request.retryAt)
		if due && p.cloud.allow(now) {
			p.send(request)
		}
	}
}

// request provisions machines by the record: by a refused request for the same kind if there
// is one for no more machines, otherwise by a new one. It returns the number of machines asked for.
func (p *provisioner) request(now time.Time, record ProvisioningRecord, maxMachines int) int {
	request := p.retryRefused(now, record.kind(), maxMachines)
	if request == nil {
		request = p.newRequest(now, record)
	}
	return request.record.Number
}

// newRequest records a new request; the cloud is called once the record is durable.
func (p *provisioner) newRequest(now time.Time, record ProvisioningRecord) *provisioningRequest {
	p.sequence++
	request := &provisioningRequest{name: requestName(p.shard, p.token, p.sequence), record: record}
	request.intent = p.intents.RecordExternal(intentlog.Provision, request.name, "demand")
	p.openWriter(request, 0)
	p.requests[request.name] = request
	p.log.Info("provisioning machines", "request", request.name,
		"type", record.Type, "zone", record.Zone, "spot", record.Spot, "number", record.Number)
	request.writer.Set(request.record)
	request.writer.Tick(now)
	return request
}

// send calls the cloud for a request's machines.
func (p *provisioner) send(request *provisioningRequest) {
	if !p.intents.StartCall(request.intent) {
		return
	}
	request.inFlight = true
	record := request.record
	call := cloud.Call{Operation: cloud.CreateMachines, Request: wire.ProvisionRequest{
		Name: request.name, Type: record.Type, Zone: record.Zone, Spot: record.Spot, Count: record.Number}}
	p.cloud.call(call, func(now time.Time, result cloud.Result) { p.handleResult(now, request, result) })
}

func (p *provisioner) handleResult(now time.Time, request *provisioningRequest, result cloud.Result) {
	request.inFlight, request.answeredAt = false, now
	response, err := result.Response()
	p.intents.FinishCall(request.intent, outcomeOf(err))
	noCapacityUntil := now.Add(tuning.NoCapacityPause)
	switch {
	case err == nil:
		p.handleGrant(now, request, response.Hosts)
		if len(response.Hosts) < request.record.Number {
			p.noCapacityUntil[request.record.kind()] = noCapacityUntil
		}
	case errors.Is(err, cloud.ErrNoCapacity):
		p.noCapacityUntil[request.record.kind()] = noCapacityUntil
		p.handleRefusal(now, request)
	case errors.Is(err, cloud.ErrInvalid):
		p.log.Error("provisioning request rejected", "request", request.name, "type", request.record.Type, "error", err)
		p.noCapacityUntil[request.record.kind()] = noCapacityUntil
		p.close(now, request, "invalid")
	default:
		request.retryAt = p.cloud.nextRetry(now)
	}
}

func (p *provisioner) handleGrant(now time.Time, request *provisioningRequest, hosts []string) {
	record := request.record
	p.log.Info("machines provisioned", "request", request.name, "type", record.Type, "zone", record.Zone,
		"spot", record.Spot, "requested", record.Number, "granted", len(hosts))
	// Some may have been adopted already, or deleted by the intent of an earlier term.
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host string) bool {
		return p.byHost[host] != nil || p.machines.registry.WasDeleted(host)
	})
	if len(hosts) == 0 {
		p.close(now, request, "no machines")
		return
	}
	request.setState(p.log, requestGranted, "granted")
	request.record.Hosts = hosts
	request.writer.Set(request.record)
	p.addHosts(now, request)
	request.writer.Tick(now)
}

// addHosts makes the machines known that a request's record names.
func (p *provisioner) addHosts(now time.Time, request *provisioningRequest) {
	for _, host := range request.record.Hosts {
		p.byHost[host] = request
		p.machines.add(now, host, request.record.kind()).Recorded = true
	}
}

// handleRefusal ends a request for which the cloud has no capacity. While intents are logged its
// name is kept for as long as a repeat of the call may arrive late and be granted: the next
// request for the kind uses the same name, and so does whoever finds machines that no record
// explains.
func (p *provisioner) handleRefusal(now time.Time, request *provisioningRequest) {
	if p.intents.Durable() {
		request.setState(p.log, requestRefused, "no capacity")
		return
	}
	p.close(now, request, "no capacity")
}

// closeRefused ends a refused request of which no call can arrive late any more.
func (p *provisioner) closeRefused(now time.Time, request *provisioningRequest) {
	if request.state == requestRefused && now.Sub(request.answeredAt) > tuning.LateCallWindow {
		p.close(now, request, "no capacity")
	}
}

// retryRefused makes a refused request for a kind pending again. It returns nil if there is none
// that the cloud has not just answered.
func (p *provisioner) retryRefused(now time.Time, kind machineKind, maxMachines int) *provisioningRequest {
	for _, request := range p.sorted() {
		if request.retryable(now, kind, maxMachines, tuning.NoCapacityPause) {
			request.setState(p.log, requestPending, "retried")
			return request
		}
	}
	return nil
}

// adopt records a machine that no record explains: a call was executed late.
func (p *provisioner) adopt(now time.Time, machine *worker.Machine) {
	if p.hasPending() || p.ownedByOtherShard(machine.Host, machine.CreatedAt) {
		return // a pending request may explain it
	}
	kind := machineKind{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot}
	if machine.Type != "" && p.retryRefused(now, kind, math.MaxInt) != nil {
		return // a refused request may have been granted late
	}
	if p.byHost[machine.Host] != nil {
		machine.Recorded = true
		return
	}
	p.log.Info("adopting an unexpected machine", "worker", machine.Host)
	p.machines.types.setCapacity(machine)
	request := &provisioningRequest{name: "found-" + machine.Host, record: ProvisioningRecord{
		Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Number: 1, Hosts: []string{machine.Host}}}
	p.openWriter(request, 0)
	request.setState(p.log, requestGranted, "adopted")
	p.requests[request.name], p.byHost[machine.Host] = request, request
	request.writer.Set(request.record)
	machine.Recorded = true
}
