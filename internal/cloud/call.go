// Package cloud is an HTTP client for the cloud API that provisions, lists and deletes machines.
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

// Operation selects the operation of a Call.
type Operation int

// Operations of the cloud API.
const (
	// ListMachineTypes returns the machine types with their prices in Response.MachineTypes.
	ListMachineTypes Operation = iota
	// CreateMachines provisions up to Call.Request.Count machines and returns them in
	// Response.Hosts. It is idempotent: the name of the request is its idempotency key.
	CreateMachines
	// DeleteMachines deletes the machines in Call.Hosts. It is idempotent.
	DeleteMachines
	// ListMachines returns the page of machines after Call.After in Response.Page.
	ListMachines
)

// String returns the operation's name in logs.
func (o Operation) String() string {
	return [...]string{"list machine types", "create machines", "delete machines", "list machines"}[o]
}

// Call is one request to the cloud. Operation determines which of the other fields apply.
type Call struct {
	Operation Operation
	Request   wire.ProvisionRequest // CreateMachines
	Hosts     []string              // DeleteMachines
	After     string                // ListMachines: last host of the previous page, "" for the first page
	// Deadline is the time after which the call must not be sent, or zero if there is none. It
	// prevents a process that was suspended from deleting machines based on outdated state.
	Deadline time.Time
}

// httpRequest returns the parts of the HTTP request for the call. A nil body means that the
// request has none.
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

// decode parses the body of a response with status 200.
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
