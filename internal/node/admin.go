package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// HandlePulse is part of peer.Handler.
func (r *Runtime) HandlePulse(ctx context.Context, m *peerpb.PulseMessage) (out *peerpb.PulseMessage, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = r.core.Pulse(now, m) })
	return out, err
}

// HandleProgress is part of peer.Handler.
func (r *Runtime) HandleProgress(ctx context.Context, m *peerpb.ProgressRequest) (out *peerpb.ProgressReply, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = r.core.Progress(m) })
	return out, err
}

// HandleProbe is part of peer.Handler. It needs no state of the owner's.
func (r *Runtime) HandleProbe(ctx context.Context, m *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.ProbeTimeout)
	defer cancel()
	answered := make(chan bool, tuning.ProbeWorkers)
	addrs := m.Addresses[:min(len(m.Addresses), tuning.ProbeWorkers)]
	for _, addr := range addrs {
		go func() {
			defer enter(r.fenceSlots)()
			answered <- show(ctx, r.workers, addr)
		}()
	}
	out := &peerpb.ProbeReply{}
	for range addrs {
		if <-answered {
			out.Answered++
		}
	}
	return out, nil
}

// HandleStatus is part of peer.Handler.
func (r *Runtime) HandleStatus(ctx context.Context) (out *peerpb.StatusReply, err error) {
	lat := r.lat.values()
	err = r.Ask(ctx, func(now time.Time) { out = r.core.Status(now, lat) })
	return out, err
}

// HandleSettings is part of peer.Handler.
func (r *Runtime) HandleSettings(ctx context.Context) (out *peerpb.Settings, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = &peerpb.Settings{Values: r.core.settings.Values()} })
	return out, err
}

// HandleSet is part of peer.Handler.
func (r *Runtime) HandleSet(ctx context.Context, name, value string) (*peerpb.Settings, error) {
	type result struct {
		s   *peerpb.Settings
		err error
	}
	ch := make(chan result, 1)
	if err := r.Ask(ctx, func(now time.Time) {
		r.core.SetSetting(now, name, value, func(s admin.Settings, err error) {
			ch <- result{&peerpb.Settings{Values: s.Values()}, err}
		})
	}); err != nil {
		return nil, err
	}
	select {
	case res := <-ch:
		return res.s, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetSetting checks a change of the operators' settings and writes it down.
func (c *Core) SetSetting(now time.Time, name, value string, reply func(admin.Settings, error)) {
	next, err := c.settings.With(name, value)
	if err != nil {
		reply(c.settings, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	if !c.leader.Synced() {
		reply(c.settings, errors.New("settings have not been read yet"))
		return
	}
	values := map[string]string{}
	c.leader.Each(admin.Key, func(it wire.Item) { _ = json.Unmarshal(it.Value, &values) })
	values[name] = value
	c.state(store.Call{Op: store.OpMulti, Class: store.ClassUser, Multi: wire.Multi{
		When:   []wire.Cond{store.Is(admin.Key, c.leader.Version(admin.Key))},
		Writes: []wire.Write{store.Put(admin.Key, values, 0)},
	}}, func(now time.Time, res store.Result) {
		switch {
		case res.OK():
			c.log.Info("operators' setting changed", "name", name, "value", value)
			reply(next, nil)
		case res.Status == 409:
			reply(c.settings, status.Error(codes.Aborted, "the settings were changed by somebody else just now; look at them again"))
		default:
			reply(c.settings, errors.New("the state service does not answer"))
		}
	})
}

// Status tells an operator what this controller knows.
func (c *Core) Status(now time.Time, lat map[string]int64) *peerpb.StatusReply {
	names, lead := c.leader.Members()
	out := &peerpb.StatusReply{Member: c.cfg.Member, Leader: lead, Members: names, Blocks: c.holdings(),
		Versions: map[string]string{c.cfg.Member: admin.Version()}}
	for name, p := range c.peers {
		if now.Sub(p.heard) < 3*tuning.PeerHeartbeatInterval {
			out.Versions[name] = p.version
		}
	}
	for b := range c.blocks {
		if t := c.tenures[b]; t != nil {
			out.Held = append(out.Held, t.status(lat))
		}
	}
	return out
}

func (t *tenure) status(lat map[string]int64) *peerpb.BlockStatus {
	n := t.board.Counters
	out := &peerpb.BlockStatus{Block: int32(t.Block), State: t.state.String(), Counters: map[string]int64{
		"mains_started": int64(n.PrimariesStarted), "spares_started": int64(n.BackupsStarted), "spares_finished": int64(n.BackupsCompleted),
		"spares_yielded": int64(n.BackupsPreempted), "spares_dropped": int64(n.BackupsWithdrawn), "redrawn": int64(n.Rescheduled),
		"preempted": int64(n.Preempted), "failed": int64(n.Failed), "gangs_placed": int64(n.GangsPlaced), "moved": int64(n.Relocated),
	}}
	for k, v := range lat {
		out.Counters[k] = v
	}
	for _, m := range t.reg.All() {
		out.Machines = append(out.Machines, &peerpb.Machine{Host: m.Host, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: m.State.String(), Tasks: int32(m.ActiveCopies), Faulty: m.Quarantined, Recalled: !m.PreemptionTime.IsZero()})
	}
	for _, u := range t.book.TeamUsages() {
		out.Teams = append(out.Teams, &peerpb.Team{Name: u.Team, CpusUsed: u.Used.CPUs, GpusUsed: u.Used.GPUs, CpusMax: u.Limit.CPUs, GpusMax: u.Limit.GPUs})
	}
	for i, j := range t.board.OpenJobs() {
		if i == tuning.MaxStatusJobs {
			break
		}
		out.Jobs = append(out.Jobs, &peerpb.Job{Id: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team, Priority: j.Spec.Priority,
			Tasks: int32(j.Spec.Tasks), Done: int32(j.CompletedTasks()), OnMachines: int32(j.AssignedTasks()),
			Shape: j.Spec.Shape, Running: int32(j.RunningTasks()), WaitsFor: j.PendingReason()})
	}
	return out
}
