package stand2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// Trouble reports whether the case is to bring about its disruption: TROUBLE is not 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its status: 1 if a rule was broken, 0 if not, 2 if the case could not
// run. The argument of the program is the case's folder.
func Main(options Options, run func(d *Deployment) error) {
	os.Exit(status(options, run))
}

func status(options Options, run func(d *Deployment) error) (code int) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			code = 2
		}
	}()
	options.Dir = filepath.Clean(os.Args[1])
	d, err := New(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer d.Close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		d.Close()
		os.Exit(2)
	}()
	d.Logf("TROUBLE=%v", Trouble())
	for _, c := range d.Controllers {
		if err == nil {
			err = d.Start(c)
		}
	}
	if err == nil {
		err = run(d)
	}
	var broken []string
	d.With(func() { broken = append(broken, d.Violations...) })
	switch {
	case len(broken) > 0:
		d.Logf("result: %d rules broken", len(broken))
		fmt.Printf("rule broken (%d times), first: %s\n", len(broken), broken[0])
		return 1
	case err != nil:
		d.Logf("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	d.Logf("result: held")
	fmt.Println("held")
	return 0
}

// Dispatch returns the settings of kit/sites/crvc-despacho-sanjose.toml, with one team.
func Dispatch() Options {
	return Options{
		Platform: config.Platform{
			Nodes: 3, Zones: []string{"zonaheredia"}, ClockSkewMS: 100,
			Teams: []config.Team{{Name: "modeladores"}},
			Objectives: []config.Objective{
				{Kind: "wait", Class: "rutamadrugada", WithinS: 25, Share: 0.88},
				{Kind: "finished", Class: "repasotrafico", WithinS: 180, Share: 0.8},
			},
			Workers:       config.Workers{HeartbeatS: 3, LeaseS: 18, GangWaitS: 50, GangPeerS: 6, CancelS: 38},
			State:         config.StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 8, TxnOps: 16},
			Cloud:         config.CloudLimits{RPS: 4, ListLagS: 6},
			MachineLimits: config.MachineLimits{CPU: 0.3, MemoryMB: 179, Sockets: 1500},
		},
		MachineType: wire.MachineType{
			Name: "guanacaste64", Vcpus: 64, Gpus: 8, MemGB: 384, LocalDiskGB: 150, ImagePullGBPerS: 0.5,
			Price: 28.76, SpotPrice: 6.85, BootTimeS: 50, Zones: []string{"zonaheredia"},
		},
		Machines: 23,
	}
}

// HuntWorkers returns the workers' settings of kit/more/hunt/crvc-despacho-sanjose-hunt.toml.
func HuntWorkers() config.Workers {
	return config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 50, GangPeerS: 6, CancelS: 46.5}
}

// Replay returns a job of the class repasotrafico of that site, whose tasks do not save.
func Replay(id string, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: id, Class: "repasotrafico", Team: "modeladores", Shape: wire.ShapeBatch, Priority: "low", Tasks: tasks,
		Vcpus: 6, Gpus: 1, MemGB: 36, Image: "img-01", ImageGB: 7, AnyType: true, Spot: true, EstimatedRunTimeS: 30,
	}
}
