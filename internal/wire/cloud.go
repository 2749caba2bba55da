package wire

// MachineType is one machine type.
type MachineType struct {
	Name        string
	Vcpus       float64
	Gpus        float64
	MemGb       float64
	LocalGb     float64 // local disk, which caches images
	FetchGbPerS float64 // rate of image fetches
	Price       float64
	SpotPrice   float64  `json:"LowPrice"`
	BootTimeS   float64  `json:"BootS"`
	Zones       []string `json:"Yards"`
}

// MachineTypes is the cloud's answer about its machine types, with the current prices.
type MachineTypes struct {
	Types []MachineType `json:"Builds"`
}

// ProvisionRequest asks the cloud for machines. Repeating a request that was granted gives the
// same answer and provisions nothing, so a name must never be used for another request.
type ProvisionRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Build"`
	Zone  string `json:"Yard"`
	Spot  bool   `json:"Loaners"`
	Count int    `json:"Number"`
}

// MachineNames lists machines by name: those that were provisioned, or that are to be deleted.
type MachineNames struct {
	Names []string `json:"Hosts"`
}

// Machine is one machine in the cloud's list.
type Machine struct {
	ID      string  `json:"Id"`
	Address string  // IP address and port of the worker
	Type    string  `json:"Build"`
	Zone    string  `json:"Yard"`
	Spot    bool    `json:"Loaners"`
	State   string  `json:"Stage"` // one of the Machine constants
	AgeS    float64 // since the provisioning request, at the moment that the list describes
}

// MachinePage is one page of the cloud's list, in order of names. The list lags, and may be older
// than the one before it.
type MachinePage struct {
	Machines []Machine `json:"Hosts"`
	More     bool
}
