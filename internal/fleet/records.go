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

// Key prefixes: the provisioning records of all shards, and the machine types among the control
// records.
const (
	ProvisioningPrefix = "h/"
	machineTypePrefix  = "c/f/"
)

// ShardProvisioningPrefix is the key prefix of a shard's provisioning records.
func ShardProvisioningPrefix(shard int) string {
	return fmt.Sprintf("%s%d/", ProvisioningPrefix, shard)
}

// RegistrationPrefix is the key prefix of the pages that name a shard's machines that may have
// been given tasks, with their workers' addresses. A machine is registered before its first
// task, so a successor need not wait for a machine that is not named.
func RegistrationPrefix(shard int) string { return fmt.Sprintf("u/%d/", shard) }

// MachineTypeName returns the name of the machine type that a control key holds, if it holds one.
func MachineTypeName(key string) (string, bool) { return strings.CutPrefix(key, machineTypePrefix) }

// MachineTypeRecord is a machine type as stored for all controllers. Each tells how many there
// are: until a controller knows them all, it cannot say that a job fits none.
type MachineTypeRecord struct {
	wire.MachineType
	Total int `json:"Of"`
}

// ProvisioningRecord is the record of a provisioning request. It is durable before the cloud is
// called, and until the last of its machines is deleted.
type ProvisioningRecord struct {
	Type   string `json:"Build"`
	Zone   string `json:"Yard"`
	Spot   bool   `json:"Loaners"`
	Number int
	Hosts  []string `json:",omitempty"` // none until the cloud has granted the request
}

func (r ProvisioningRecord) kind() machineKind {
	return machineKind{machineType: r.Type, zone: r.Zone, spot: r.Spot}
}

// machineKind is what the cloud's capacity is counted by.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

// RecordedHosts returns the shard of a provisioning record and the machines that the record
// names, none while the request is pending.
func RecordedHosts(item wire.KeyValue) (shard int, hosts []string) {
	shardText, _, _ := strings.Cut(strings.TrimPrefix(item.Key, ProvisioningPrefix), "/")
	var record ProvisioningRecord
	shard, err := strconv.Atoi(shardText)
	if err != nil || json.Unmarshal(item.Value, &record) != nil {
		return 0, nil
	}
	return shard, record.Hosts
}

// PendingRequest reports whether a provisioning record is one of the shard's that names no machines
// yet, and under which token it was recorded.
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

// requestName is the name of a provisioning request. A name is never used for a second request:
// the cloud would take that for a repeat of the first.
func requestName(shard int, token uint64, sequence int) string {
	return fmt.Sprintf("b%d-%d-%d", shard, token, sequence)
}

// requestToken is the token of the term that made a request's name, 0 if the name is of another form.
func requestToken(name string) uint64 {
	var shard, number int
	var token uint64
	if _, err := fmt.Sscanf(name, "b%d-%d-%d", &shard, &token, &number); err != nil {
		return 0
	}
	return token
}

// termStore makes writers whose writes succeed only while the term lasts.
type termStore struct {
	termCompare wire.Compare
	call        store.Caller
	onTermLost  func(now time.Time)
}

// newValue makes the writer of a value. Options say its key, its version and what is specific to it.
func (s *termStore) newValue(options store.DesiredValueOptions) *store.DesiredValue {
	options.Priority = store.PriorityTerm
	options.TermCompare = s.termCompare
	options.StateCall = s.call
	options.OnTermLost = s.onTermLost
	return store.NewDesiredValue(options)
}
