package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// load recovers a provisioning record of an earlier term. It counts a record that it cannot decode.
func (p *provisioner) load(now time.Time, item wire.KeyValue) {
	name := strings.TrimPrefix(item.Key, ShardProvisioningPrefix(p.shard))
	var record ProvisioningRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		p.log.Error("failed to decode provisioning record", "key", item.Key, "error", err)
		p.unreadableRecords++
		return
	}
	request := &provisioningRequest{name: name, record: record, openedAt: now}
	p.openWriter(request, item.Version)
	p.requests[name] = request
	if len(record.Hosts) == 0 {
		// The earlier term recorded no grant. The request is idempotent: a retry under its name
		// returns the machines that were granted, or creates them now.
		request.intent = p.intents.RecoverExternal(intentlog.Provision, name, requestToken(name))
		request.setState(p.log, requestPending, "recovered without an answer")
		return
	}
	request.setState(p.log, requestGranted, "recovered")
	request.recordDurable = true
	p.addHosts(now, request)
}

// recordsDurably reports whether a durable record names a machine.
func (p *provisioner) recordsDurably(host string) bool {
	request := p.byHost[host]
	return request != nil && request.recordDurable
}

// openWriter creates the writer of a request's record. The version is that of the stored record, 0
// if there is none.
func (p *provisioner) openWriter(request *provisioningRequest, version uint64) {
	request.writer = p.store.newValue(store.DesiredValueOptions{
		Key:        ShardProvisioningPrefix(p.shard) + request.name,
		KeyVersion: version,
		OnDurable:  func(now time.Time, version int) { p.handleDurable(now, request, version) },
		OnTooLarge: func(now time.Time) bool { return p.splitRecord(now, request) },
	})
}

// handleDurable advances a request after a version of its record has become durable.
func (p *provisioner) handleDurable(now time.Time, request *provisioningRequest, version int) {
	p.forgetDurable(request, version)
	switch request.state {
	case requestRecording:
		p.intents.MarkRecorded(request.intent)
		request.setState(p.log, requestPending, "recorded")
	case requestGranted:
		request.recordDurable = true
		p.onRecordDurable(now, request.record.Hosts)
	case requestClosed:
		if request.writer.Durable() {
			delete(p.requests, request.name)
		}
	}
}

// splitRecord moves half of a request's machines to a second record and reports whether it did. It is
// called when the state service rejects the record for its size under an unannounced limit. Machines
// get no tasks before their record is durable, so a crash leaves at most orphans, which are adopted.
func (p *provisioner) splitRecord(now time.Time, request *provisioningRequest) bool {
	count := len(request.record.Hosts)
	if request.state != requestGranted || count < 2 {
		return false
	}
	p.maxMachinesPerRequest = min(p.maxMachinesPerRequest, count/2)
	p.log.Warn("state service rejected provisioning record for its size; splitting it",
		"request", request.name, "count", count)
	p.sequence++
	half := &provisioningRequest{name: requestName(p.shard, p.token, p.sequence), record: request.record}
	half.record.Hosts, half.record.Number = request.record.Hosts[count/2:], count-count/2
	request.record.Hosts = request.record.Hosts[:count/2]
	p.openWriter(half, 0)
	half.setState(p.log, requestGranted, "split")
	p.requests[half.name] = half
	for _, host := range half.record.Hosts {
		p.byHost[host] = half
	}
	for _, part := range []*provisioningRequest{request, half} {
		part.writer.Set(part.record)
		part.writer.Tick(now)
	}
	return true
}

// close completes the intent of a request that has no machines and deletes the request's record.
func (p *provisioner) close(now time.Time, request *provisioningRequest, reason string) {
	if request.intent != nil {
		p.intents.Complete(request.intent, reason)
	}
	request.setState(p.log, requestClosed, reason)
	request.writer.Set(nil)
	request.writer.Tick(now)
}

// removeHost removes a deleted machine from its record. The deletion intent is kept until the new
// record is durable. Otherwise a successor could load a record that names the machine but find no
// intent for it, and would wait for contact with a machine that does not exist.
func (p *provisioner) removeHost(now time.Time, host string) {
	request := p.byHost[host]
	if request == nil {
		p.forgetTermination(host)
		return
	}
	delete(p.byHost, host)
	request.record.Hosts = slices.DeleteFunc(slices.Clone(request.record.Hosts), func(other string) bool {
		return other == host
	})
	if len(request.record.Hosts) == 0 {
		deleted := pendingRemoval{host: host, version: request.writer.Generation() + 1}
		request.pendingRemovals = append(request.pendingRemovals, deleted)
		p.close(now, request, "all machines deleted")
		return
	}
	deleted := pendingRemoval{host: host, version: request.writer.Set(request.record)}
	request.pendingRemovals = append(request.pendingRemovals, deleted)
}

// forgetDurable forgets the completed intents whose effects a durable version of a request's record
// reflects: the request's own, and those of the deleted machines that the version no longer names.
func (p *provisioner) forgetDurable(request *provisioningRequest, version int) {
	waiting := request.pendingRemovals[:0]
	for _, deleted := range request.pendingRemovals {
		if deleted.version > version {
			waiting = append(waiting, deleted)
			continue
		}
		p.forgetTermination(deleted.host)
	}
	request.pendingRemovals = waiting
	if request.intent != nil {
		p.intents.Forget(request.intent)
	}
}

// forgetTermination forgets the completed termination intent of a machine.
func (p *provisioner) forgetTermination(host string) {
	for _, operation := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if intent := p.intents.Get(operation, host); intent != nil {
			p.intents.Forget(intent)
		}
	}
}
