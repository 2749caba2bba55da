package cloud

import (
	"time"

	"juniperchute/internal/wire"
)

// Caller executes a call in the background and passes its result to the callback, on the
// goroutine that made the call.
type Caller func(call Call, callback func(now time.Time, result Result))

// Response is what the cloud returns of a call that succeeded. Which field is set depends on the
// call's operation.
type Response struct {
	MachineTypes []wire.MachineType
	Hosts        []string
	Page         wire.MachinePage
}

// Result is the outcome of a call: a response or an error. The zero Result is that of a call
// without a response.
type Result struct {
	response  Response
	err       error
	succeeded bool
}

// Success is the result of a call that the cloud has executed.
func Success(response Response) Result { return Result{response: response, succeeded: true} }

// Failure is the result of a call that failed with an error, one of this package's or one that
// stands for an HTTP status that the protocol does not name.
func Failure(err error) Result { return Result{err: err} }

// Response returns the response, or the error of a call that failed.
func (r Result) Response() (Response, error) { return r.response, r.Err() }

// Err returns nil if the call succeeded, otherwise why it failed.
func (r Result) Err() error {
	if r.succeeded {
		return nil
	}
	if r.err == nil {
		return ErrNoResponse
	}
	return r.err
}
