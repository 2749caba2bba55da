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

// controllerProcess is one controller of a deployment, whose process ends and is started again.
type controllerProcess struct {
	tb           testing.TB
	config       config.Config
	settingsFile string    // has its config
	command      *exec.Cmd // nil while it has no process
}

// start starts the controller; command is the call of its program with a settings file.
func (p *controllerProcess) start(command func(settingsFile string) *exec.Cmd) {
	p.tb.Helper()
	raw, err := toml.Marshal(p.config)
	if err != nil {
		p.tb.Fatal(err)
	}
	if err := os.WriteFile(p.settingsFile, raw, 0o600); err != nil {
		p.tb.Fatal(err)
	}
	p.command = command(p.settingsFile)
	if file := logFile(p.config.Member); file != nil {
		p.command.Stderr = file
		defer file.Close()
	}
	if err := p.command.Start(); err != nil {
		p.tb.Fatal(err)
	}
}

// stop ends the process, if there is one. A status that tells of a failure is an error: a
// process that ended by itself was missing in whatever the test saw since, and 66 is the
// race detector's for a data race.
func (p *controllerProcess) stop(sig os.Signal) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(sig)
	_ = p.command.Wait()
	if status := p.command.ProcessState.ExitCode(); status > 0 {
		p.tb.Errorf("%s ended with status %d (INTEGRATION_LOG keeps its log)", p.config.Member, status)
	}
	p.command = nil
}

// cpuTime is the processor time that the process has taken.
func (p *controllerProcess) cpuTime() time.Duration {
	p.tb.Helper()
	var total time.Duration
	dir := fmt.Sprintf("/proc/%d/task", p.command.Process.Pid)
	threads, err := os.ReadDir(dir)
	if err != nil {
		p.tb.Fatal(err)
	}
	for _, thread := range threads {
		raw, err := os.ReadFile(dir + "/" + thread.Name() + "/schedstat")
		if err != nil {
			continue // the thread has ended
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			p.tb.Skip("this kernel does not report processor time")
		}
		total += time.Duration(ns)
	}
	return total
}

// residentMB is the process's memory in MB, now and at most.
func (p *controllerProcess) residentMB() (now, peak float64) {
	const kbPerMB = 1024
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			now = kb / kbPerMB
		} else if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			peak = kb / kbPerMB
		}
	}
	return now, peak
}

// logFile is where a controller logs, if INTEGRATION_LOG names a prefix; nil: nowhere.
func logFile(member string) *os.File {
	prefix := os.Getenv("INTEGRATION_LOG")
	if prefix == "" {
		return nil
	}
	file, err := os.OpenFile(prefix+"-"+member+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil
	}
	return file
}
