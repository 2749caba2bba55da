package integration

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"juniperchute/internal/config"
)

// process is one controller's place: its process comes and goes.
type process struct {
	tb   testing.TB
	cfg  config.Config
	file string // its settings
	cmd  *exec.Cmd
}

// start starts the controller; command makes the program's call for a settings file.
func (p *process) start(command func(settings string) *exec.Cmd) {
	p.tb.Helper()
	raw, err := toml.Marshal(p.cfg)
	if err != nil {
		p.tb.Fatal(err)
	}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		p.tb.Fatal(err)
	}
	p.cmd = command(p.file)
	if f := logFile(p.cfg.Member); f != nil {
		p.cmd.Stderr = f
		defer f.Close()
	}
	if err := p.cmd.Start(); err != nil {
		p.tb.Fatal(err)
	}
}

// end ends the process, if there is one. One that has ended by itself is an error: it
// was missing in whatever the test saw since.
func (p *process) end(sig os.Signal) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(sig)
	_ = p.cmd.Wait()
	if status := p.cmd.ProcessState.ExitCode(); status > 0 {
		p.tb.Errorf("%s ended by itself, with status %d", p.cfg.Member, status)
	}
	p.cmd = nil
}

// cpu is the processor time that the process has taken.
func (p *process) cpu() time.Duration {
	p.tb.Helper()
	var sum time.Duration
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	threads, err := os.ReadDir(dir)
	if err != nil {
		p.tb.Fatal(err)
	}
	for _, t := range threads {
		raw, err := os.ReadFile(dir + "/" + t.Name() + "/schedstat")
		if err != nil {
			continue // the thread has ended
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			p.tb.Skip("processor time is not told here")
		}
		sum += time.Duration(ns)
	}
	return sum
}

// resident is the process's memory in MB, now and at most.
func (p *process) resident() (now, most float64) {
	const kbPerMB = 1024
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			now = kb / kbPerMB
		} else if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			most = kb / kbPerMB
		}
	}
	return now, most
}
