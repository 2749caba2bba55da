package wire

// MachineType describes a machine type: the resources, prices and zones of its machines.
type MachineType struct {
	Name            string
	Vcpus           float64
	Gpus            float64
	MemGB           float64 `json:"MemGb"`
	LocalDiskGB     float64 `json:"LocalGb"`     // local disk, which caches images
	ImagePullGBPerS float64 `json:"FetchGbPerS"` // throughput of image pulls in gigabytes per second
	Price           float64
	SpotPrice       float64  `json:"LowPrice"`
	BootTimeS       float64  `json:"BootS"`
	Zones           []string `json:"Yards"`
}

// MachineTypes is the response to a query of machine types, with their current prices.
type MachineTypes struct {
	Types []MachineType `json:"Builds"`
}

// ProvisionRequest requests machines from the cloud. It is idempotent: a retry of a granted request
// returns the same response and provisions nothing. A name must not be reused for another request.
type ProvisionRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Build"`
	Zone  string `json:"Yard"`
	Spot  bool   `json:"Loaners"`
	Count int    `json:"Number"`
}

// MachineNames names the machines that a request provisioned, or those that are to be deleted.
type MachineNames struct {
	Names []string `json:"Hosts"`
}

// Machine is an entry of the cloud's list of machines.
type Machine struct {
	ID      string  `json:"Id"`
	Address string  // IP address and port of the worker
	Type    string  `json:"Build"`
	Zone    string  `json:"Yard"`
	Spot    bool    `json:"Loaners"`
	State   string  `json:"Stage"` // one of the Machine constants
	AgeS    float64 // age since the provisioning request, as of the list's snapshot
}

// MachinePage is a page of the cloud's list, sorted by name. The list is eventually consistent, and may
// be older than the previous one.
type MachinePage struct {
	Machines []Machine `json:"Hosts"`
	More     bool
}
