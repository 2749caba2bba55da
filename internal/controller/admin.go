package controller

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

// HandleHeartbeat is part of peer.Handler.
func (r *Runtime) HandleHeartbeat(ctx context.Context, m *peerpb.PeerHeartbeat) (out *peerpb.PeerHeartbeat, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = r.controller.HandlePeerHeartbeat(now, m) })
	return out, err
}

// HandleProgress is part of peer.Handler.
func (r *Runtime) HandleProgress(ctx context.Context, m *peerpb.ProgressRequest) (out *peerpb.ProgressReply, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = r.controller.HandleProgress(m) })
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
			defer acquire(r.fencingSlots)()
			answered <- probeWorker(ctx, r.workers, addr)
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
	lat := r.latencies.values()
	err = r.Ask(ctx, func(now time.Time) { out = r.controller.Status(now, lat) })
	return out, err
}

// HandleSettings is part of peer.Handler.
func (r *Runtime) HandleSettings(ctx context.Context) (out *peerpb.Settings, err error) {
	err = r.Ask(ctx, func(now time.Time) { out = &peerpb.Settings{Values: r.controller.settings.Values()} })
	return out, err
}

// HandleSetSetting is part of peer.Handler.
func (r *Runtime) HandleSetSetting(ctx context.Context, name, value string) (*peerpb.Settings, error) {
	type result struct {
		s   *peerpb.Settings
		err error
	}
	ch := make(chan result, 1)
	if err := r.Ask(ctx, func(now time.Time) {
		r.controller.SetSetting(now, name, value, func(s admin.Settings, err error) {
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
func (c *Controller) SetSetting(now time.Time, name, value string, reply func(admin.Settings, error)) {
	next, err := c.settings.With(name, value)
	if err != nil {
		reply(c.settings, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	if !c.membership.Synced() {
		reply(c.settings, errors.New("settings have not been read yet"))
		return
	}
	values := map[string]string{}
	c.membership.Each(admin.Key, func(it wire.KeyValue) { _ = json.Unmarshal(it.Value, &values) })
	values[name] = value
	c.callState(store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(admin.Key, c.membership.Version(admin.Key))},
		Writes:   []wire.Write{store.Put(admin.Key, values, 0)},
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
func (c *Controller) Status(now time.Time, lat map[string]int64) *peerpb.StatusReply {
	names, lead := c.membership.Members()
	out := &peerpb.StatusReply{Member: c.config.Member, Leader: lead, Members: names, Claims: c.leaseClaimList(),
		Versions: map[string]string{c.config.Member: admin.Version()}}
	for name, p := range c.peers {
		if now.Sub(p.lastHeartbeat) < 3*tuning.PeerHeartbeatInterval {
			out.Versions[name] = p.version
		}
	}
	for b := range c.shards {
		if t := c.terms[b]; t != nil {
			out.Shards = append(out.Shards, t.status(lat))
		}
	}
	return out
}

func (t *term) status(lat map[string]int64) *peerpb.ShardStatus {
	n := t.scheduler.Counters
	out := &peerpb.ShardStatus{Shard: int32(t.Shard), State: t.state.String(), Counters: map[string]int64{
		"mains_started": int64(n.PrimariesStarted), "spares_started": int64(n.BackupsStarted), "spares_finished": int64(n.BackupsCompleted),
		"spares_yielded": int64(n.BackupsPreempted), "spares_dropped": int64(n.BackupsWithdrawn), "redrawn": int64(n.Rescheduled),
		"preempted": int64(n.Preempted), "failed": int64(n.Failed), "gangs_placed": int64(n.GangsPlaced), "moved": int64(n.Relocated),
	}}
	for k, v := range lat {
		out.Counters[k] = v
	}
	for _, m := range t.workers.All() {
		out.Machines = append(out.Machines, &peerpb.Machine{Host: m.Host, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: m.State.String(), Tasks: int32(m.ActiveCopies), Quarantined: m.Quarantined, PreemptionNotice: !m.PreemptionTime.IsZero()})
	}
	for _, u := range t.ledger.TeamUsages() {
		out.Teams = append(out.Teams, &peerpb.Team{Name: u.Team, CpusUsed: u.Used.CPUs, GpusUsed: u.Used.GPUs, CpusMax: u.Limit.CPUs, GpusMax: u.Limit.GPUs})
	}
	for i, j := range t.scheduler.OpenJobs() {
		if i == tuning.MaxStatusJobs {
			break
		}
		out.Jobs = append(out.Jobs, &peerpb.Job{Id: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team, Priority: j.Spec.Priority,
			Tasks: int32(j.Spec.Tasks), Done: int32(j.CompletedTasks()), OnMachines: int32(j.AssignedTasks()),
			Shape: j.Spec.Shape, Running: int32(j.RunningTasks()), WaitsFor: j.PendingReason()})
	}
	return out
}
