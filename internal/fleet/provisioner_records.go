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

// load takes over a provisioning record of an earlier term.
func (p *provisioner) load(now time.Time, item wire.KeyValue) {
	name := strings.TrimPrefix(item.Key, ShardProvisioningPrefix(p.shard))
	var record ProvisioningRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		p.log.Error("provisioning record cannot be read", "key", item.Key, "error", err)
		p.unreadableRecords++
		return
	}
	request := &provisioningRequest{name: name, record: record}
	p.openWriter(request, item.Version)
	p.requests[name] = request
	if len(record.Hosts) == 0 {
		// The earlier lease holder did not get to record the answer. Calling again by the
		// same name gets it, or creates the machines now.
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

// openWriter makes the writer of a request's record, which is stored at a version, 0 for none.
func (p *provisioner) openWriter(request *provisioningRequest, version uint64) {
	request.writer = p.store.newValue(store.DesiredValueOptions{
		Key:        ShardProvisioningPrefix(p.shard) + request.name,
		KeyVersion: version,
		OnDurable:  func(now time.Time, version int) { p.handleDurable(now, request, version) },
		OnTooLarge: func(now time.Time) bool { return p.splitRecord(now, request) },
	})
}

// handleDurable goes on with a request of whose record a version has become durable.
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

// splitRecord gives half of a request's machines a record of their own: the state service has
// refused one that names them all, by a limit that it did not announce. Until its record is
// durable no machine is used, so one that a crash leaves out of both is adopted as unexpected.
func (p *provisioner) splitRecord(now time.Time, request *provisioningRequest) bool {
	count := len(request.record.Hosts)
	if request.state != requestGranted || count < 2 {
		return false
	}
	p.maxMachinesPerRequest = min(p.maxMachinesPerRequest, count/2)
	p.log.Warn("state service has rejected a provisioning record for its size",
		"request", request.name, "machines", count)
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

// close ends a request without machines and deletes its record.
func (p *provisioner) close(now time.Time, request *provisioningRequest, reason string) {
	if request.intent != nil {
		p.intents.Complete(request.intent, reason)
	}
	request.setState(p.log, requestClosed, reason)
	request.writer.Set(nil)
	request.writer.Tick(now)
}

// removeHost removes a deleted machine from its record. The intent of its deletion is kept until
// that is durable: a successor that found the machine recorded and no intent would wait for it.
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
		deleted := pendingRemoval{host: host, version: request.writer.WantedVersion() + 1}
		request.pendingRemovals = append(request.pendingRemovals, deleted)
		p.close(now, request, "all machines deleted")
		return
	}
	deleted := pendingRemoval{host: host, version: request.writer.Set(request.record)}
	request.pendingRemovals = append(request.pendingRemovals, deleted)
}

// forgetDurable forgets the intents that a durable version of a request's record makes
// superfluous: that of the request, and those of deleted machines that it does not name any more.
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

// forgetTermination forgets the completed intent of a machine's deletion.
func (p *provisioner) forgetTermination(host string) {
	for _, operation := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if intent := p.intents.Get(operation, host); intent != nil {
			p.intents.Forget(intent)
		}
	}
}
