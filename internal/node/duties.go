package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/duty"
	"juniperchute/internal/fleet"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/switches"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// dutyLogs are the logs of all blocks as this node last read them.
type dutyLogs struct {
	entries map[int][]duty.Entry
	unread  map[int]int // pages that cannot be read
	at      time.Time   // when they were read; zero: never
}

// errNeverRead tells that this node has not read what it is asked for yet.
var errNeverRead = errors.New("the control records have not been read yet")

// HandleDuties is part of peer.Handler.
func (r *Runtime) HandleDuties(ctx context.Context) (*peerpb.DutiesReply, error) {
	type result struct {
		reply *peerpb.DutiesReply
		err   error
	}
	ch := make(chan result, 1)
	if err := r.Ask(ctx, func(now time.Time) {
		r.core.Duties(now, func(reply *peerpb.DutiesReply, err error) { ch <- result{reply, err} })
	}); err != nil {
		return nil, err
	}
	select {
	case res := <-ch:
		return res.reply, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Duties tells who carries out the duties and what is not settled. The logs are read
// anew; if the state service does not answer, what was read last is told with its age.
func (c *Core) Duties(now time.Time, reply func(*peerpb.DutiesReply, error)) {
	if !c.leader.Synced() {
		reply(nil, errNeverRead)
		return
	}
	read := dutyLogs{entries: map[int][]duty.Entry{}, unread: map[int]int{}, at: now}
	c.readLogs(read, "", func(now time.Time, ok bool) {
		if ok {
			c.logs = read
		}
		reply(c.dutiesReply(now), nil)
	})
}

// readLogs reads the pages of all blocks' logs.
func (c *Core) readLogs(into dutyLogs, after string, then func(now time.Time, ok bool)) {
	c.state(store.Call{Op: store.OpList, Class: store.ClassUser, Under: duty.Under, After: after, Page: tuning.ListPageSize}, func(now time.Time, r store.Result) {
		if !r.OK() {
			then(now, false)
			return
		}
		for _, it := range r.Items {
			into.add(it)
		}
		if n := len(r.Items); r.More && n > 0 {
			c.readLogs(into, r.Items[n-1].Path, then)
			return
		}
		then(now, true)
	})
}

func (l *dutyLogs) add(it wire.Item) {
	number, _, _ := strings.Cut(strings.TrimPrefix(it.Path, duty.Under), "/")
	block, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	entries, err := duty.ReadPage(it.Value)
	if err != nil {
		l.unread[block]++
		return
	}
	l.entries[block] = append(l.entries[block], entries...)
}

// age is how long ago something was, in milliseconds, -1 if it never was.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}

func (c *Core) dutiesReply(now time.Time) *peerpb.DutiesReply {
	out := &peerpb.DutiesReply{Member: c.cfg.Member, InForce: c.leader.InForce(switches.Duties),
		HoldersAgeMs: age(now, c.leader.Heard()), EntriesAgeMs: age(now, c.logs.at)}
	for b := range c.blocks {
		out.Blocks = append(out.Blocks, c.blockDuties(b))
	}
	return out
}

func (c *Core) blockDuties(block int) *peerpb.BlockDuties {
	holder, token, live := c.leader.Holder(block)
	out := &peerpb.BlockDuties{Block: int32(block), Holder: holder, Token: token, Live: live, UnreadPages: int32(c.logs.unread[block])}
	if since := c.leader.BlockSince(block); !since.IsZero() {
		out.SinceMs = since.UnixMilli()
	}
	statuses := c.recordedDuties(block)
	if t := c.tenures[block]; t != nil && t.state != tenureOver {
		out.State = t.state.String()
		if t.state != tenureLoading {
			statuses = t.duties.Status()
		}
	}
	for _, s := range statuses {
		out.Duties = append(out.Duties, c.dutyStatus(s))
	}
	return out
}

// recordedDuties tells of a block's duties what is stored: the entries of its log, and
// the rentals that name no machines yet.
func (c *Core) recordedDuties(block int) []duty.Status {
	actions := map[duty.Duty][]duty.ActionStatus{}
	for _, e := range c.logs.entries[block] {
		actions[e.Duty] = append(actions[e.Duty], duty.ActionStatus{Duty: e.Duty, Target: e.Target, Token: e.Token, Stage: duty.Entered, EnteredAt: e.At})
	}
	c.rentals.Each(func(it wire.Item) {
		if name, token, open := fleet.UnansweredRequest(it, block); open {
			actions[duty.Renting] = append(actions[duty.Renting], duty.ActionStatus{Duty: duty.Renting, Target: name, Token: token, Stage: duty.Entered})
		}
	})
	var out []duty.Status
	for _, d := range duty.All() {
		out = append(out, duty.Status{Duty: d, Actions: actions[d]})
	}
	return out
}

// dutyStatus tells of one duty, the oldest actions first.
func (c *Core) dutyStatus(s duty.Status) *peerpb.DutyStatus {
	out := &peerpb.DutyStatus{Duty: string(s.Duty), Unsettled: int32(len(s.Actions)), RemovalsUnderWay: int32(s.UnderWay), RemovalsDone: int64(s.Removed)}
	slices.SortStableFunc(s.Actions, func(a, b duty.ActionStatus) int {
		return cmp.Or(a.EnteredAt.Compare(b.EnteredAt), cmp.Compare(a.Target, b.Target))
	})
	for _, a := range s.Actions[:min(len(s.Actions), tuning.MaxIntentsShown)] {
		out.Actions = append(out.Actions, &peerpb.DutyAction{Target: a.Target, Token: a.Token, Stage: a.Stage.String(), AgeMs: age(c.wall(), a.EnteredAt)})
	}
	return out
}
