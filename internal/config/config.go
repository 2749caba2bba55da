// Package config loads and validates the settings file of a controller. The names of its fields, in the
// TOML tags, are an interface to the platform that writes the file. Unknown fields are ignored.
//
// A suffix of a field gives its unit: S is seconds, MS milliseconds, KB 1,024 bytes, MB 1,024^2 bytes,
// RPS operations per second.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Config holds the settings file of one controller.
type Config struct {
	Member   string   `toml:"member"`    // name of this controller
	Zone     string   `toml:"area"`      // zone of this controller
	APIAddr  string   `toml:"api_addr"`  // listen address for users, workers and health checks
	PeerBind string   `toml:"peer_bind"` // listen address for the other controllers and operators
	Peers    []Peer   `toml:"known"`     // the other controllers
	External External `toml:"external"`
	Platform Platform `toml:"facts"`
}

// Peer describes another controller of the deployment.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"area"`
	Address string `toml:"address"` // PeerBind of the peer
}

// External holds the addresses of the cloud API and the state service.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Platform describes the deployment. All controllers of a deployment have the same Platform.
type Platform struct {
	Nodes         int           `toml:"nodes"` // number of controllers
	Zones         []string      `toml:"zones"`
	ClockSkewMS   float64       `toml:"time_bound_ms"` // bound of a wall clock's error
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       Workers       `toml:"workers"`
	State         StateLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// Team holds the quotas of a team: for each resource, the guaranteed amount and the limit on the use
// by the team's tasks. 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs: the given share of the jobs, from 0 to
// 1, reaches the condition that Kind names within the given time. Unknown kinds are valid.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the protocol timings of all workers.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // heartbeat interval
	LeaseS     float64 `toml:"lease_s"`     // time without a response after which a worker kills its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // time for which a task waits for its gang to be complete
	GangPeerS  float64 `toml:"gang_peer_s"` // bound of the time in which a gang's tasks detect the end of one
	CancelS    float64 `toml:"cancel_s"`    // bound of the time in which the tasks of a cancelled job end
}

// Load reads and validates the settings file at path. An invalid field is reported as a *FieldError.
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

// Parse decodes and validates settings. The error is a single line. It is a *FieldError if a field is
// missing or invalid.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(raw, &c); err != nil {
		return nil, singleLineError(err)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

// singleLineError prefixes a decoding error with its line and field.
func singleLineError(err error) error {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, _ := decodeError.Position()
		return fmt.Errorf("line %d: %s: %w", row, strings.Join(decodeError.Key(), "."), decodeError)
	}
	return err
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
