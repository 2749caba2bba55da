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

// provisioner sends provisioning requests and maintains their records. A request's name is its
// idempotency key: it is durable before the cloud is called and unchanged until the outcome is known,
// so that a retry creates no machine twice.
type provisioner struct {
	shard    int
	token    uint64
	log      *slog.Logger
	cloud    *rateLimitedCloud
	store    *termStore
	intents  *intentlog.Log
	machines *machineAdder
	// mayBelongToOtherShard is Options.MayBelongToOtherShard.
	mayBelongToOtherShard func(host string, existedAt time.Time) bool
	// onRecordDurable is called with the hosts that a durable record names.
	onRecordDurable func(now time.Time, hosts []string)

	requests map[string]*provisioningRequest // by name
	byHost   map[string]*provisioningRequest // by the hosts that their records name
	sequence int                             // sequence number of the latest request of this term
	// unreadableRecords counts the records that cannot be decoded. Their machines are unknown.
	unreadableRecords int
	// maxMachinesPerRequest is lowered when the state service rejects a record for its size.
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

// hasPending reports whether any request may yet be granted machines that are unknown so far.
func (p *provisioner) hasPending() bool {
	return slices.ContainsFunc(p.sorted(), (*provisioningRequest).pending)
}

// unanswered returns the number of requests whose outcome is unknown, and since when the oldest has been.
func (p *provisioner) unanswered() (count int, oldest time.Time) {
	for _, request := range p.requests {
		if !request.pending() {
			continue
		}
		count++
		if oldest.IsZero() || request.openedAt.Before(oldest) {
			oldest = request.openedAt
		}
	}
	return count, oldest
}

// hasCapacity reports whether a request for a kind may be sent. It returns false for a while after
// the cloud has reported no capacity.
func (p *provisioner) hasCapacity(now time.Time, kind machineKind) bool {
	return !now.Before(p.noCapacityUntil[kind])
}

// tick starts the record writes and cloud calls that are due.
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

// request provisions machines of the record's kind. It retries a refused request for the kind and at
// most maxMachines machines if there is one, and otherwise creates a request from the record. It
// returns the number of machines requested.
func (p *provisioner) request(now time.Time, record ProvisioningRecord, maxMachines int) int {
	request := p.retryRefused(now, record.kind(), maxMachines)
	if request == nil {
		request = p.newRequest(now, record)
	}
	return request.record.Number
}

// newRequest creates and records a request. The cloud is called once the record is durable.
func (p *provisioner) newRequest(now time.Time, record ProvisioningRecord) *provisioningRequest {
	p.sequence++
	request := &provisioningRequest{name: requestName(p.shard, p.token, p.sequence), record: record, openedAt: now}
	request.intent = p.intents.RecordExternal(intentlog.Provision, request.name, "demand")
	p.openWriter(request, 0)
	p.requests[request.name] = request
	p.log.Info("provisioning machines", "request", request.name,
		"type", record.Type, "zone", record.Zone, "spot", record.Spot, "count", record.Number)
	request.writer.Set(request.record)
	request.writer.Tick(now)
	return request
}

// send sends a request to the cloud.
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
	request.inFlight, request.finishedAt = false, now
	response, err := result.Response()
	p.intents.FinishCall(request.intent, outcomeOf(err))
	noCapacityUntil := now.Add(tuning.NoCapacityBackoff)
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
	// Some machines may have been adopted already, or deleted by an intent of an earlier term.
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

// addHosts adds the machines that a request's record names to the registry.
func (p *provisioner) addHosts(now time.Time, request *provisioningRequest) {
	for _, host := range request.record.Hosts {
		p.byHost[host] = request
		p.machines.add(now, host, request.record.kind()).Recorded = true
	}
}

// handleRefusal handles a request for which the cloud has no capacity. While the intent log is
// durable, the request is kept as long as a delayed copy of the call may still be granted. Demand for
// the kind, or a machine without a record, then retries it under the same name.
func (p *provisioner) handleRefusal(now time.Time, request *provisioningRequest) {
	if p.intents.Durable() {
		request.setState(p.log, requestRefused, "no capacity")
		return
	}
	p.close(now, request, "no capacity")
}

// closeRefused closes a refused request once no delayed copy of its call can be executed any more.
func (p *provisioner) closeRefused(now time.Time, request *provisioningRequest) {
	if request.state == requestRefused && now.Sub(request.finishedAt) > tuning.LateCallWindow {
		p.close(now, request, "no capacity")
	}
}

// retryRefused makes a refused request for a kind and at most maxMachines machines pending again. It
// returns nil if there is none whose backoff has passed.
func (p *provisioner) retryRefused(now time.Time, kind machineKind, maxMachines int) *provisioningRequest {
	for _, request := range p.sorted() {
		if request.retryable(now, kind, maxMachines, tuning.NoCapacityBackoff) {
			request.setState(p.log, requestPending, "retried")
			return request
		}
	}
	return nil
}

// adopt creates a record for an orphaned machine, the result of a create call that executed late.
func (p *provisioner) adopt(now time.Time, machine *worker.Machine) {
	if p.hasPending() || p.mayBelongToOtherShard(machine.Host, machine.CreatedAt) {
		return // the machine may belong to a pending request or to another shard
	}
	kind := machineKind{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot}
	if machine.Type != "" && p.retryRefused(now, kind, math.MaxInt) != nil {
		return // a refused request may have been granted late
	}
	if p.byHost[machine.Host] != nil {
		machine.Recorded = true
		return
	}
	p.log.Info("adopting orphaned machine", "worker", machine.Host)
	p.machines.types.setCapacity(machine)
	request := &provisioningRequest{name: "found-" + machine.Host, record: ProvisioningRecord{
		Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Number: 1, Hosts: []string{machine.Host}}}
	p.openWriter(request, 0)
	request.setState(p.log, requestGranted, "adopted")
	p.requests[request.name], p.byHost[machine.Host] = request, request
	request.writer.Set(request.record)
	machine.Recorded = true
}
