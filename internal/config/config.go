// Package config reads the settings file that the platform hands to a controller. Its field
// names are fixed by the platform; fields it does not know are ignored.
//
// Units: fields that end in S are seconds, in MS milliseconds, in KB and MB 1,024 and 1,024^2
// bytes, in RPS per second.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Config is the whole settings file.
type Config struct {
	Member   string   `toml:"member"`    // this controller's name
	Zone     string   `toml:"area"`      // the zone that it runs in
	APIAddr  string   `toml:"api_addr"`  // where users, workers and health checks reach it
	PeerBind string   `toml:"peer_bind"` // where the other controllers and operators reach it
	Peers    []Peer   `toml:"known"`     // the other controllers
	External External `toml:"external"`
	Platform Platform `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"area"`
	Address string `toml:"address"` // its PeerBind
}

// External are the addresses of the outside services.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Platform describes the deployment; it is the same for all of its controllers.
type Platform struct {
	Nodes         int           `toml:"nodes"` // the number of controllers
	Zones         []string      `toml:"zones"`
	ClockSkewMS   float64       `toml:"time_bound_ms"` // largest deviation of a wall clock from true time
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       Workers       `toml:"workers"`
	State         StateLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// Team is a team's guaranteed quota of each resource, and the limit on what its tasks may use of it.
// 0 means that there is no such guarantee or limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' service-level objectives for a class of jobs: a share of them,
// from 0 to 1, is to reach what the kind names within a time. Kinds that this version does not
// know are kept.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers are the times that hold for all workers.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // between two heartbeats
	LeaseS     float64 `toml:"lease_s"`     // after which a worker without an answer ends its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // for which a task waits for its gang to be complete
	GangPeerS  float64 `toml:"gang_peer_s"` // within which a gang's tasks notice that one has ended
	CancelS    float64 `toml:"cancel_s"`    // within which a cancelled job's tasks must have ended
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads and checks settings. The error is one line, and a *FieldError if a field is missing
// or invalid.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(raw, &c); err != nil {
		return nil, singleLineError(err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return &c, nil
}

// singleLineError names the line and the field of a decoder's error.
func singleLineError(err error) error {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, _ := decodeError.Position()
		return fmt.Errorf("line %d: %s: %w", row, strings.Join(decodeError.Key(), "."), decodeError)
	}
	return err
}

// Seconds converts an amount of seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
