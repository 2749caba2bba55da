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

// Errors of SetSetting beside those of a value that is refused. Operators read the texts.
var (
	errSettingsNotRead   = errors.New("settings have not been read yet")
	errSettingsUnwritten = errors.New("the state service does not answer")
	errSettingsConflict  = status.Error(codes.Aborted,
		"the settings were changed by somebody else just now; look at them again")
)

// SetSetting checks a change of the operators' settings and writes it. reply gets the settings
// as they are then.
func (c *Controller) SetSetting(name, value string, reply func(admin.Settings, error)) {
	next, err := c.settings.With(name, value)
	if err != nil {
		reply(c.settings, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	if !c.membership.Synced() {
		reply(c.settings, errSettingsNotRead)
		return
	}
	values := map[string]string{}
	c.membership.Each(admin.Key, func(kv wire.KeyValue) { _ = json.Unmarshal(kv.Value, &values) })
	values[name] = value
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(admin.Key, c.membership.Version(admin.Key))},
		Writes:   []wire.Write{store.Put(admin.Key, values, 0)},
	}}
	c.callState(call, func(_ time.Time, result store.Result) {
		switch {
		case result.OK():
			c.environment.Log.Info("setting changed", "name", name, "value", value)
			reply(next, nil)
		case errors.Is(result.Err, store.ErrConflict):
			reply(c.settings, errSettingsConflict)
		default:
			reply(c.settings, errSettingsUnwritten)
		}
	})
}
