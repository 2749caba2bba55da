// Package cloud is the client of the cloud that machines are provisioned from.
package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Operation is a kind of call.
type Operation int

// The operations of the cloud.
const (
	// ListMachineTypes gets Response.MachineTypes.
	ListMachineTypes Operation = iota
	// CreateMachines creates Call.Request.Count machines or fewer, and gets Response.Hosts. It is
	// idempotent by the request's name.
	CreateMachines
	// DeleteMachines deletes the machines of Call.Hosts. It is idempotent.
	DeleteMachines
	// ListMachines gets the page of machines that follow Call.After, as Response.Page.
	ListMachines
)

// Call is one request to the cloud.
type Call struct {
	Operation Operation
	Request   wire.ProvisionRequest // of CreateMachines
	Hosts     []string              // of DeleteMachines
	After     string                // of ListMachines: the last host of the page before, "" for the first page
	// Deadline is until when the call may be sent; zero: any time. A process that was suspended
	// must not delete machines on what it knew before.
	Deadline time.Time
}

// httpRequest is the call's HTTP request; a nil body means none.
func (c Call) httpRequest() (method, path string, body []byte) {
	switch c.Operation {
	case CreateMachines:
		body, _ = json.Marshal(c.Request)
		return http.MethodPost, "/machines", body
	case DeleteMachines:
		body, _ = json.Marshal(wire.MachineNames{Names: c.Hosts})
		return http.MethodPost, "/machines/delete", body
	case ListMachines:
		path = "/machines?Page=" + strconv.Itoa(tuning.CloudPageSize)
		if c.After != "" {
			path += "&After=" + url.QueryEscape(c.After)
		}
		return http.MethodGet, path, nil
	}
	return http.MethodGet, "/flavors", nil
}

// decode reads the body of the response to a call that succeeded.
func (c Call) decode(body []byte) (Response, error) {
	var response Response
	var err error
	switch c.Operation {
	case ListMachineTypes:
		var types wire.MachineTypes
		err = json.Unmarshal(body, &types)
		response.MachineTypes = types.Types
	case CreateMachines:
		var names wire.MachineNames
		err = json.Unmarshal(body, &names)
		response.Hosts = names.Names
	case ListMachines:
		err = json.Unmarshal(body, &response.Page)
	}
	return response, err
}
