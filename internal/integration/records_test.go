package integration

import (
	"encoding/json"
	"strings"

	"juniperchute/internal/featuregate"
)

// Keys of the records that tests read. Deployments of these tests have one shard.
const (
	shardKey        = "c/b/0"
	leaderKey       = "c/leader"
	memberPrefix    = "c/m/"
	featureGatesKey = "c/switches"
	settingsKey     = "c/settings"
)

// shardRecord holds the lease holder of a shard's term, its incarnation and the fencing token. The
// record remains stored after the lease holder has exited.
type shardRecord struct {
	Holder      string
	Incarnation uint64 `json:"Inc"`
	Token       uint64 `json:"Baton"`
}

// leaderRecord holds the cluster's leader and its incarnation. The record remains stored after the
// leader has exited.
type leaderRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`
}

// memberRecord holds the incarnation of a member, which is the ID of its lease.
type memberRecord struct {
	Incarnation uint64 `json:"Inc"`
}

// storedRecord decodes the value of a key. It returns the zero value if the key does not exist. The
// lock must be held.
func storedRecord[T any](d *deployment, key string) (record T) {
	_ = json.Unmarshal(d.store.Keys[key].Value, &record)
	return record
}

// leaseHolderName returns the shard's lease holder as recorded, which may have exited; the lock must
// be held.
func (d *deployment) leaseHolderName() string { return storedRecord[shardRecord](d, shardKey).Holder }

// currentToken returns the fencing token of the shard's latest term; the lock must be held.
func (d *deployment) currentToken() uint64 { return storedRecord[shardRecord](d, shardKey).Token }

// leaseHolder returns the shard's lease holder as recorded, or nil if there is none; the lock must
// be held.
func (d *deployment) leaseHolder() *controllerProcess {
	if i := d.NodeIndex(d.leaseHolderName()); i >= 0 {
		return d.controllers[i]
	}
	return nil
}

// incarnation returns the incarnation of a member, or 0 if it is not a member; the lock must be
// held.
func (d *deployment) incarnation(member string) uint64 {
	return storedRecord[memberRecord](d, memberPrefix+member).Incarnation
}

// liveController returns the index of a controller, or -1 if it is not a member with the given
// incarnation; the lock must be held.
func (d *deployment) liveController(member string, incarnation uint64) int {
	if incarnation == 0 || d.incarnation(member) != incarnation {
		return -1
	}
	return d.NodeIndex(member)
}

// leaseHolderIndex returns the index of the shard's lease holder, or -1 if it is not a live member;
// the lock must be held.
func (d *deployment) leaseHolderIndex() int {
	record := storedRecord[shardRecord](d, shardKey)
	return d.liveController(record.Holder, record.Incarnation)
}

// leaderIndex returns the index of the leader, or -1 if it is not a live member; the lock must be
// held.
func (d *deployment) leaderIndex() int {
	record := storedRecord[leaderRecord](d, leaderKey)
	return d.liveController(record.Member, record.Incarnation)
}

// intentLogInForce reports whether the intent log is enabled cluster-wide; the lock must be held.
func (d *deployment) intentLogInForce() bool {
	return strings.Contains(string(d.store.Keys[featureGatesKey].Value), featuregate.IntentLogFeature)
}
