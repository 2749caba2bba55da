package controller

import (
	"testing"

	"juniperchute/internal/intentlog"
)

// Guards against renamed intent states in the administration API, which must match earlier versions.
func TestAdminIntentState(t *testing.T) {
	names := map[intentlog.State]string{
		intentlog.Recording: "entering",
		intentlog.Recorded:  "entered",
		intentlog.InFlight:  "sent",
		intentlog.Completed: "settled",
	}
	for state := intentlog.Recording; state <= intentlog.Completed; state++ {
		if got := adminIntentState(state); got != names[state] {
			t.Errorf("%v: %q, want %q", state, got, names[state])
		}
	}
}
