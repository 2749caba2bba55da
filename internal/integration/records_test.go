package integration

import (
	"encoding/json"
	"strings"

	"juniperchute/internal/featuregate"
)

// Keys of the records that tests read. A deployment here has one shard.
const (
	shardKey        = "c/b/0"
	leaderKey       = "c/leader"
	memberPrefix    = "c/m/"
	featureGatesKey = "c/switches"
	settingsKey     = "c/settings"
)

// shardRecord is what the record of a shard's term tells: its lease holder, the holder's
// incarnation and the fencing token. It outlives the process that it names.
type shardRecord struct {
	Holder      string
	Incarnation uint64 `json:"Inc"`
	Token       uint64 `json:"Baton"`
}

// leaderRecord is what the record of the cluster's leader tells. It outlives the process that it
// names.
type leaderRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`
}

// memberRecord is what a member's record tells: the lease of its process.
type memberRecord struct {
	Incarnation uint64 `json:"Inc"`
}

// storedRecord is the value of a stored key, the zero value if there is none; the lock is held.
func storedRecord[T any](d *deployment, key string) (record T) {
	_ = json.Unmarshal(d.store.Keys[key].Value, &record)
	return record
}

// leaseHolderName is the member that the record names as the shard's lease holder; the lock is held.
func (d *deployment) leaseHolderName() string { return storedRecord[shardRecord](d, shardKey).Holder }

// currentToken is the fencing token of the shard's newest term; the lock is held.
func (d *deployment) currentToken() uint64 { return storedRecord[shardRecord](d, shardKey).Token }

// leaseHolder is the controller that the record names as the shard's lease holder, nil if there is
// none; the lock is held.
func (d *deployment) leaseHolder() *controllerProcess {
	if i := d.NodeIndex(d.leaseHolderName()); i >= 0 {
		return d.controllers[i]
	}
	return nil
}

// incarnation is the lease of the process that is a member for a controller, 0 if there
// is none; the lock is held.
func (d *deployment) incarnation(member string) uint64 {
	return storedRecord[memberRecord](d, memberPrefix+member).Incarnation
}

// liveController is the index of the controller whose process is a member with an incarnation, -1
// if the process is no member any more; the lock is held.
func (d *deployment) liveController(member string, incarnation uint64) int {
	if incarnation == 0 || d.incarnation(member) != incarnation {
		return -1
	}
	return d.NodeIndex(member)
}

// leaseHolderIndex is the controller whose live process holds the shard's lease, -1 if none does;
// the lock is held.
func (d *deployment) leaseHolderIndex() int {
	record := storedRecord[shardRecord](d, shardKey)
	return d.liveController(record.Holder, record.Incarnation)
}

// leaderIndex is the controller whose live process is the leader, -1 if none is; the lock is held.
func (d *deployment) leaderIndex() int {
	record := storedRecord[leaderRecord](d, leaderKey)
	return d.liveController(record.Member, record.Incarnation)
}

// intentLogInForce reports whether all members use the intent log; the lock is held.
func (d *deployment) intentLogInForce() bool {
	return strings.Contains(string(d.store.Keys[featureGatesKey].Value), featuregate.IntentLogFeature)
}
