package fleet

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

const (
	// ProvisioningPrefix is the common key prefix of the provisioning records of all shards.
	ProvisioningPrefix = "h/"

	machineTypePrefix = "c/f/" // key prefix of machine type records
)

// ShardProvisioningPrefix returns the key prefix of a shard's provisioning records.
func ShardProvisioningPrefix(shard int) string {
	return fmt.Sprintf("%s%d/", ProvisioningPrefix, shard)
}

// RegistrationPrefix returns the key prefix of a shard's registration pages. They map each machine
// that may have been assigned tasks to its worker's address. A machine is registered before its first
// task, so a successor need not reconcile unregistered machines.
func RegistrationPrefix(shard int) string { return fmt.Sprintf("u/%d/", shard) }

// MachineTypeName returns the machine type that a key of a machine type record names. The result is
// false for other keys.
func MachineTypeName(key string) (string, bool) { return strings.CutPrefix(key, machineTypePrefix) }

// MachineTypeRecord is the stored form of a machine type, shared by all controllers.
type MachineTypeRecord struct {
	wire.MachineType
	// Total is the number of machine types. A controller that has loaded fewer cannot reject a job
	// for fitting none.
	Total int `json:"Of"`
}

// ProvisioningRecord is the stored form of a provisioning request. It is durable before the cloud is
// called and exists until the last of its machines is deleted.
type ProvisioningRecord struct {
	Type   string `json:"Build"`
	Zone   string `json:"Yard"`
	Spot   bool   `json:"Loaners"`
	Number int
	Hosts  []string `json:",omitempty"` // empty until the cloud has granted the request
}

func (r ProvisioningRecord) kind() machineKind {
	return machineKind{machineType: r.Type, zone: r.Zone, spot: r.Spot}
}

// machineKind is the unit for which the cloud grants or refuses capacity.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

// RecordedHosts returns the shard of a provisioning record and the machines that the record names,
// none while the request is pending. It returns zero values for a malformed key or record.
func RecordedHosts(item wire.KeyValue) (shard int, hosts []string) {
	shardText, _, _ := strings.Cut(strings.TrimPrefix(item.Key, ProvisioningPrefix), "/")
	var record ProvisioningRecord
	shard, err := strconv.Atoi(shardText)
	if err != nil || json.Unmarshal(item.Value, &record) != nil {
		return 0, nil
	}
	return shard, record.Hosts
}

// PendingRequest returns the name and token of the shard's provisioning request that a key-value pair
// records, and whether the request is pending: its record names no machines yet.
func PendingRequest(item wire.KeyValue, shard int) (name string, token uint64, pending bool) {
	name, ok := strings.CutPrefix(item.Key, ShardProvisioningPrefix(shard))
	if !ok {
		return "", 0, false
	}
	var record ProvisioningRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return "", 0, false
	}
	return name, requestToken(name), len(record.Hosts) == 0
}

// requestName returns a unique name for a provisioning request. The cloud deduplicates requests by
// name, so no two requests may share one.
func requestName(shard int, token uint64, sequence int) string {
	return fmt.Sprintf("b%d-%d-%d", shard, token, sequence)
}

// requestToken returns the fencing token in a request's name, 0 if requestName did not create it.
func requestToken(name string) uint64 {
	var shard, sequence int
	var token uint64
	if _, err := fmt.Sscanf(name, "b%d-%d-%d", &shard, &token, &sequence); err != nil {
		return 0
	}
	return token
}

// termStore creates writers whose writes are conditioned on the term.
type termStore struct {
	termCompare wire.Compare
	call        store.Caller
	onTermLost  func(now time.Time)
}

// newValue returns the writer of a value. It sets the options that are common to all values of the
// term.
func (s *termStore) newValue(options store.DesiredValueOptions) *store.DesiredValue {
	options.Priority = store.PriorityTerm
	options.TermCompare = s.termCompare
	options.StateCall = s.call
	options.OnTermLost = s.onTermLost
	return store.NewDesiredValue(options)
}
