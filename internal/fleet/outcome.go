package fleet

import (
	"errors"

	"juniperchute/internal/cloud"
	"juniperchute/internal/intentlog"
)

// outcomeOf is what an error, or none, says of a call that changes something.
func outcomeOf(err error) intentlog.Outcome {
	switch {
	case err == nil:
		return intentlog.Done
	case errors.Is(err, cloud.ErrNoResponse):
		return intentlog.Unknown
	}
	return intentlog.NotExecuted
}
