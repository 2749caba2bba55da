package leader

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"

	"juniperchute/internal/wire"
)

// Keys of the control records, all below ControlPrefix.
const (
	ControlPrefix = "c/"
	keyToken      = "c/baton"
	keyLeader     = "c/leader"
	memberPrefix  = "c/m/"
	shardPrefix   = "c/b/"
	// keyFeatures is unknown to versions before 0.3, which ignore it.
	keyFeatures = "c/switches"
)

// MemberRecord is a live process. Its key is attached to the process's lease, so it disappears
// when the lease expires.
type MemberRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`   // the process's lease, which identifies the process
	JoinedAtMs  int64  `json:"Since"` // ms since the Unix epoch, by the member's wall clock
	// Features are the feature gates that the member announces; versions before 0.3 announce none.
	Features []string `json:"Switches,omitempty"`
}

// LeaderRecord names the leader. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`
}

// ShardRecord is a shard's term. It is written when a term starts or is given up, and at no
// other time, so its version identifies the term.
type ShardRecord struct {
	Holder      string // the lease holder's member name, "" if the term was given up
	Incarnation uint64 `json:"Inc"`
	Token       uint64 `json:"Baton"` // the term's fencing token
	// PredecessorEnded: the previous lease holder's process had surely ended when this term
	// started, so that process no longer renews any worker's lease.
	PredecessorEnded bool `json:"Ended"`
	// Unreachable names the member that gave the shard up because the workers could not reach
	// it, while they reached other members; "" if there is none.
	Unreachable string `json:"Deaf,omitempty"`
	// AssignedAtMs is when the term was assigned, in ms since the Unix epoch by the leader's
	// wall clock; 0 if the leader ran a version that does not record it.
	AssignedAtMs int64 `json:"Since,omitempty"`
}

// FeaturesRecord lists the feature gates in force: those that every member announced when the
// leader last compared them.
type FeaturesRecord struct {
	InForce []string
}

// tokenRecord is the last fencing token that was given out.
type tokenRecord struct{ Last uint64 }

// ShardKey is the key of a shard's record.
func ShardKey(shard int) string { return fmt.Sprintf("%s%d", shardPrefix, shard) }

// versioned is a record with the version of its key; version 0 means that there is none.
type versioned[T any] struct {
	value   T
	version uint64
}

// controlRecords are the control records of membership and election as last read.
type controlRecords struct {
	members  map[string]versioned[MemberRecord]
	shards   map[int]versioned[ShardRecord]
	leader   versioned[LeaderRecord]
	token    versioned[tokenRecord]
	features versioned[FeaturesRecord]
	log      *slog.Logger
}

func newControlRecords(log *slog.Logger) controlRecords {
	return controlRecords{
		members: map[string]versioned[MemberRecord]{},
		shards:  map[int]versioned[ShardRecord]{},
		log:     log,
	}
}

// isLive reports whether the process that a record names is still a member.
func (c *controlRecords) isLive(member string, incarnation uint64) bool {
	record, ok := c.members[member]
	return ok && record.value.Incarnation == incarnation
}

// apply takes in a change of a key, and returns false for keys of other kinds.
func (c *controlRecords) apply(key string, item wire.KeyValue, deleted bool) bool {
	switch key {
	case keyToken:
		c.token, _ = decode[tokenRecord](c.log, item, deleted)
		return true
	case keyLeader:
		c.leader, _ = decode[LeaderRecord](c.log, item, deleted)
		return true
	case keyFeatures:
		c.applyFeatures(item, deleted)
		return true
	}
	if name, ok := strings.CutPrefix(key, memberPrefix); ok && name != "" {
		c.applyMember(name, item, deleted)
		return true
	}
	if name, ok := strings.CutPrefix(key, shardPrefix); ok && name != "" {
		c.applyShard(name, item, deleted)
		return true
	}
	return false
}

func (c *controlRecords) applyFeatures(item wire.KeyValue, deleted bool) {
	c.features, _ = decode[FeaturesRecord](c.log, item, deleted)
	if !deleted {
		c.log.Info("feature gates in force changed", "features", c.features.value.InForce)
	}
}

func (c *controlRecords) applyMember(name string, item wire.KeyValue, deleted bool) {
	delete(c.members, name)
	if record, ok := decode[MemberRecord](c.log, item, deleted); ok {
		c.members[name] = record
	}
}

func (c *controlRecords) applyShard(name string, item wire.KeyValue, deleted bool) {
	var shard int
	if _, err := fmt.Sscanf(name, "%d", &shard); err != nil {
		return
	}
	delete(c.shards, shard)
	record, ok := decode[ShardRecord](c.log, item, deleted)
	if !ok {
		return
	}
	c.shards[shard] = record
	c.log.Info("shard lease recorded", "shard", shard, "member", record.value.Holder, "term", record.value.Token)
}

// decode reads a record; one that was deleted or cannot be read is returned as absent.
func decode[T any](log *slog.Logger, item wire.KeyValue, deleted bool) (versioned[T], bool) {
	if deleted {
		return versioned[T]{}, false
	}
	record := versioned[T]{version: item.Version}
	if err := json.Unmarshal(item.Value, &record.value); err != nil {
		log.Error("control record cannot be read", "key", item.Key, "error", err)
		return versioned[T]{}, false
	}
	return record, true
}
