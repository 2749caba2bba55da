package leader

import (
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// EarlierTermsRecord states that no lease holder of a shard's earlier terms can renew a worker's lease
// any more. A term writes it once it knows this, for terms that started without that knowledge.
type EarlierTermsRecord struct {
	Token uint64 `json:"Baton"` // fencing token of the term that wrote it; all terms before it have ended
}

// RecordEarlierTermsEnded records that no lease holder of a term before the given one can renew a worker's
// lease any more, unless that is recorded already. It sends nothing while another transaction is in
// flight or the lease is not valid; the caller must retry.
func (m *Membership) RecordEarlierTermsEnded(now time.Time, assignment Assignment) {
	recorded := assignment.EarlierTermsEnded ||
		m.records.earlierTerms[assignment.Shard].value.Token == assignment.Token
	if recorded || !m.mayTransact(now) {
		return
	}
	m.options.Log.Info("recording that earlier terms have ended", "shard", assignment.Shard, "term", assignment.Token)
	record := EarlierTermsRecord{Token: assignment.Token}
	m.sendTransaction(wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(ShardKey(assignment.Shard), assignment.Version)},
		Writes:   []wire.Write{store.Put(earlierTermsKey(assignment.Shard), record, 0)},
	})
}

// earlierTermsEnded reports whether no lease holder of any of a shard's terms can renew a worker's lease
// any more. last is the record of the shard's latest term. That its lease holder has ended is not enough:
// a holder before it, partitioned from the state service, may go on renewing leases until the latest term
// has waited for that, or has fenced every worker.
func (m *Membership) earlierTermsEnded(shard int, last versioned[ShardRecord]) bool {
	if last.version == 0 {
		return true
	}
	beforeLast := last.value.EarlierTermsEnded || m.records.earlierTerms[shard].value.Token == last.value.Token
	return beforeLast && m.holderEnded(last.value)
}

// holderEnded reports whether the lease holder of a shard's latest term can no longer act: it released the
// shard, or a later process has replaced its member record. The caller must have checked that the lease
// holder's incarnation is not live, so that a member record of its name belongs to another incarnation. An
// absent member record proves nothing: the process may still run, partitioned from the state service.
func (m *Membership) holderEnded(last ShardRecord) bool {
	_, replaced := m.records.members[last.Holder]
	return last.Holder == "" || replaced
}
