package controller

import (
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/admin"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Errors of SetSetting other than an invalid value. Their texts are returned to operators.
var (
	errSettingsNotLoaded  = errors.New("settings have not been read yet")
	errSettingsNotWritten = errors.New("the state service does not answer")
	errSettingsConflict   = status.Error(codes.Aborted,
		"the settings were changed by somebody else just now; look at them again")
)

// SetSetting validates a change of one of the operators' settings and writes it by
// compare-and-swap. reply receives the settings after the change, or the current ones with an
// error.
func (c *Controller) SetSetting(name, value string, reply func(admin.Settings, error)) {
	next, err := c.settings.With(name, value)
	if err != nil {
		reply(c.settings, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	if !c.membership.Synced() {
		reply(c.settings, errSettingsNotLoaded)
		return
	}
	values := map[string]string{}
	c.membership.Each(admin.SettingsKey, func(kv wire.KeyValue) { _ = json.Unmarshal(kv.Value, &values) })
	values[name] = value
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(admin.SettingsKey, c.membership.Version(admin.SettingsKey))},
		Writes:   []wire.Write{store.Put(admin.SettingsKey, values, 0)},
	}}
	c.callState(call, func(_ time.Time, result store.Result) {
		switch {
		case result.OK():
			c.environment.Log.Info("setting changed", "key", name, "value", value)
			reply(next, nil)
		case errors.Is(result.Err, store.ErrConflict):
			reply(c.settings, errSettingsConflict)
		default:
			reply(c.settings, errSettingsNotWritten)
		}
	})
}
