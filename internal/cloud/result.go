package cloud

import (
	"time"

	"juniperchute/internal/wire"
)

// Caller starts a call and returns without waiting for the response. It invokes callback on the
// controller's event loop, from which the call must be made, with the current time and the result.
type Caller func(call Call, callback func(now time.Time, result Result))

// Response is the decoded response to a successful call. The operation of the call determines
// which field is set.
type Response struct {
	MachineTypes []wire.MachineType // ListMachineTypes
	Hosts        []string           // CreateMachines
	Page         wire.MachinePage   // ListMachines
}

// Result is the outcome of a call: either a response or an error. The zero Result represents a
// call without a response.
type Result struct {
	response  Response
	err       error
	succeeded bool
}

// Success returns the result of a call that the cloud has executed.
func Success(response Response) Result { return Result{response: response, succeeded: true} }

// Failure returns the result of a failed call. err is one of this package's errors or the error
// of an unexpected HTTP status.
func Failure(err error) Result { return Result{err: err} }

// Response returns the response of a successful call, or the error of a failed one.
func (r Result) Response() (Response, error) { return r.response, r.Err() }

// Err returns nil if the call succeeded and a non-nil error otherwise, also for a zero Result.
func (r Result) Err() error {
	if r.succeeded {
		return nil
	}
	if r.err == nil {
		return ErrNoResponse
	}
	return r.err
}
