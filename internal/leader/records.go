package leader

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
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
	// keyFeatures is ignored by versions before 0.3.
	keyFeatures = "c/switches"
	// earlierTermsPrefix is ignored by versions before 0.3.1.
	earlierTermsPrefix = "c/e/"
)

// MemberRecord registers a live process. Its key is attached to the process's lease and is deleted when
// the lease expires.
type MemberRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`   // ID of the process's lease
	JoinedAtMs  int64  `json:"Since"` // ms since the Unix epoch, by the member's wall clock
	// Features lists the feature gates that the member announces. Versions before 0.3 announce none.
	Features []string `json:"Switches,omitempty"`
}

// LeaderRecord identifies the leader. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`
}

// ShardRecord describes the current term of a shard. It is written only when a term starts or is
// released, so the version of its key identifies the term.
type ShardRecord struct {
	Holder      string // member name of the lease holder, "" after a release
	Incarnation uint64 `json:"Inc"`
	Token       uint64 `json:"Baton"` // the term's fencing token
	// PredecessorEnded equals EarlierTermsEnded when this version writes it. Versions before 0.3.1 read it
	// in place of EarlierTermsEnded, and set it if the latest term's lease holder alone has ended.
	PredecessorEnded bool `json:"Ended"`
	// EarlierTermsEnded states that no lease holder of an earlier term could renew any worker's lease any
	// more when this term was assigned.
	EarlierTermsEnded bool `json:"AllEnded,omitempty"`
	// UnreachableMember names the member that released the shard because the workers could reach other
	// members but not this one; "" if there is none.
	UnreachableMember string `json:"Deaf,omitempty"`
	// AssignedAtMs is the time of the assignment, in ms since the Unix epoch by the leader's wall
	// clock; 0 if the leader ran a version that does not record it.
	AssignedAtMs int64 `json:"Since,omitempty"`
}

// FeaturesRecord lists the feature gates in force: those that every member announced when the leader
// last compared the member records.
type FeaturesRecord struct {
	InForce []string
}

// tokenRecord holds the latest fencing token that was assigned to a term.
type tokenRecord struct{ Last uint64 }

// ShardKey returns the key of the record of a shard.
func ShardKey(shard int) string { return fmt.Sprintf("%s%d", shardPrefix, shard) }

// earlierTermsKey returns the key of a shard's EarlierTermsRecord.
func earlierTermsKey(shard int) string { return fmt.Sprintf("%s%d", earlierTermsPrefix, shard) }

// versioned is a record with the version of its key. Version 0 means that the key does not exist.
type versioned[T any] struct {
	value   T
	version uint64
}

// controlRecords holds the control records of membership and election as last read.
type controlRecords struct {
	members      map[string]versioned[MemberRecord]
	shards       map[int]versioned[ShardRecord]
	earlierTerms map[int]versioned[EarlierTermsRecord] // by shard
	leader       versioned[LeaderRecord]
	token        versioned[tokenRecord]
	features     versioned[FeaturesRecord]
	log          *slog.Logger
}

func newControlRecords(log *slog.Logger) controlRecords {
	return controlRecords{
		members:      map[string]versioned[MemberRecord]{},
		shards:       map[int]versioned[ShardRecord]{},
		earlierTerms: map[int]versioned[EarlierTermsRecord]{},
		log:          log,
	}
}

// isLive reports whether the given incarnation of a member is still registered.
func (c *controlRecords) isLive(member string, incarnation uint64) bool {
	record, ok := c.members[member]
	return ok && record.value.Incarnation == incarnation
}

// apply updates the records with a change of a key. It returns false for keys of other packages.
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
	if name, ok := strings.CutPrefix(key, earlierTermsPrefix); ok && name != "" {
		c.applyEarlierTerms(name, item, deleted)
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
	shard, err := strconv.Atoi(name)
	if err != nil {
		return
	}
	delete(c.shards, shard)
	record, ok := decode[ShardRecord](c.log, item, deleted)
	if !ok {
		return
	}
	c.shards[shard] = record
	c.log.Info("shard lease changed", "shard", shard, "member", record.value.Holder, "term", record.value.Token)
}

func (c *controlRecords) applyEarlierTerms(name string, item wire.KeyValue, deleted bool) {
	shard, err := strconv.Atoi(name)
	if err != nil {
		return
	}
	delete(c.earlierTerms, shard)
	if record, ok := decode[EarlierTermsRecord](c.log, item, deleted); ok {
		c.earlierTerms[shard] = record
	}
}

// decode parses a record. It returns false if the record was deleted or is malformed.
func decode[T any](log *slog.Logger, item wire.KeyValue, deleted bool) (versioned[T], bool) {
	if deleted {
		return versioned[T]{}, false
	}
	record := versioned[T]{version: item.Version}
	if err := json.Unmarshal(item.Value, &record.value); err != nil {
		log.Error("failed to decode control record", "key", item.Key, "error", err)
		return versioned[T]{}, false
	}
	return record, true
}
