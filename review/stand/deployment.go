package stand

import (
	"fmt"
	"os"
	"time"
)

// Settings are the parts of a site that a case needs.
type Settings struct {
	Zones      []string // of the controllers, one each
	AllZones   []string
	Teams      []Team
	ReportS    float64
	LeaseS     float64
	CancelS    float64
	StateRPS   float64
	WriteRPS   float64
	ValueKB    float64
	TxnOps     int
	CloudRPS   float64
	ListLagS   float64
	CPU        float64
	MemoryMB   float64
	Sockets    int
	Flavor     Flavor
	Boot       time.Duration
	CloudDelay time.Duration
}

// Team is a team with its guarantee and limit, 0: none.
type Team struct {
	Name                         string
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Exams returns settings like those of lipnik-exams-ljubljana.
func Exams(zones ...string) Settings {
	return Settings{Zones: []string{zones[0], zones[len(zones)-1], zones[len(zones)-1]}, AllZones: zones,
		Teams:   []Team{{Name: "ocenjevanje", GPUs: 16, GPUsMax: 32}, {Name: "nadzor", GPUs: 40, GPUsMax: 88}},
		ReportS: 1.5, LeaseS: 10, CancelS: 35, StateRPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8,
		CloudRPS: 8, ListLagS: 3, CPU: 0.12, MemoryMB: 98, Sockets: 900,
		Flavor: Flavor{Name: "lipa12", Vcpus: 12, Gpus: 2, MemGb: 96, LocalGb: 150, FetchGbPerS: 0.3, Price: 5.55,
			LowPrice: 1.99, BootS: 25, Yards: zones},
		Boot: 2 * time.Second, CloudDelay: 150 * time.Millisecond}
}

// Dispatch returns settings like those of crvc-despacho-sanjose.
func Dispatch(zones ...string) Settings {
	return Settings{Zones: []string{zones[0], zones[len(zones)-1], zones[len(zones)-1]}, AllZones: zones,
		Teams:   []Team{{Name: "modeladores"}, {Name: "invitadosucr"}},
		ReportS: 3, LeaseS: 18, CancelS: 38, StateRPS: 250, WriteRPS: 25, ValueKB: 8, TxnOps: 16,
		CloudRPS: 4, ListLagS: 6, CPU: 0.3, MemoryMB: 179, Sockets: 1500,
		Flavor: Flavor{Name: "guanacaste64", Vcpus: 64, Gpus: 8, MemGb: 384, LocalGb: 250, FetchGbPerS: 0.5,
			Price: 28.76, LowPrice: 6.85, BootS: 50, Yards: zones},
		Boot: 2 * time.Second, CloudDelay: 200 * time.Millisecond}
}

func (s Settings) facts() string {
	text := fmt.Sprintf("\n[facts]\nnodes = %d\nzones = [", len(s.Zones))
	for i, zone := range s.AllZones {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", zone)
	}
	text += "]\ntime_bound_ms = 100.0\n"
	for _, team := range s.Teams {
		text += fmt.Sprintf("\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n",
			team.Name, team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax)
	}
	text += fmt.Sprintf("\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 6.0\n"+
		"cancel_s = %.1f\n", s.ReportS, s.LeaseS, s.CancelS)
	text += fmt.Sprintf("\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.StateRPS,
		s.WriteRPS, s.ValueKB, s.TxnOps)
	text += fmt.Sprintf("\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.CloudRPS, s.ListLagS)
	text += fmt.Sprintf("\n[facts.machine_limits]\ncpu = %.2f\nmemory_mb = %.1f\nsockets = %d\n", s.CPU, s.MemoryMB,
		s.Sockets)
	return text
}

// Deployment is a whole deployment. The controllers are configured and not started.
type Deployment struct {
	Record *Record
	State  *State
	Cloud  *Cloud
	Fleet  *Fleet
	Nodes  []*Node
	User   *User
	Folder string
}

// NewDeployment starts the stand-ins. root is the checkout, record the path of the record.
func NewDeployment(root, recordPath string, settings Settings) (*Deployment, error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, Folder: folder, State: NewState(), Cloud: NewCloud(record),
		Fleet: NewFleet(record, settings.ReportS, settings.LeaseS), User: &User{Record: record}}
	d.State.Latency, d.State.RPS, d.State.WriteRPS = 4*time.Millisecond, settings.StateRPS, settings.WriteRPS
	d.State.ValueKB, d.State.TxnOps = settings.ValueKB, settings.TxnOps
	d.Cloud.Flavors, d.Cloud.Latency, d.Cloud.RPS = []Flavor{settings.Flavor}, settings.CloudDelay, settings.CloudRPS
	d.Cloud.ListLag, d.Cloud.Boot = time.Duration(settings.ListLagS*float64(time.Second)), settings.Boot
	d.Cloud.Up = func(host *Host) { d.Fleet.Add(host, settings.Flavor) }
	d.Cloud.Gone = d.Fleet.Drop
	site := Site{Facts: settings.facts(), Folder: folder, Root: root}
	d.Nodes, err = NewNodes(site, settings.Zones, Serve(d.State), Serve(d.Cloud), record)
	d.Fleet.Nodes = d.Nodes
	return d, err
}

// Stop ends the controllers and removes the temporary folder.
func (d *Deployment) Stop() {
	StopAll(d.Nodes)
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(d.Folder)
	}
}

// Wait waits until a condition holds and reports whether it did in time.
func Wait(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// WaitHealthy waits until every controller's health check passes.
func (d *Deployment) WaitHealthy(limit time.Duration) bool {
	return Wait(limit, func() bool {
		for _, node := range d.Nodes {
			if d.User.exchange("http://"+node.API+"/healthz", "GET", nil, time.Second).Status != 200 {
				return false
			}
		}
		return true
	})
}

// Fatal records why a case could not run, stops the deployment and exits with 2.
func (d *Deployment) Fatal(format string, args ...any) {
	d.Record.Printf("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	d.Stop()
	os.Exit(2)
}
