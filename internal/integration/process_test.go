package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"juniperchute/internal/config"
)

// controllerProcess is one controller of a deployment, whose process tests stop and restart.
type controllerProcess struct {
	tb           testing.TB
	config       config.Config
	settingsFile string    // holds config
	logFile      string    // holds the output of all processes of the controller
	command      *exec.Cmd // nil while no process runs
}

// start writes the settings file and starts the process that command returns for it.
func (p *controllerProcess) start(command func(settingsFile string) *exec.Cmd) {
	p.tb.Helper()
	p.writeSettings()
	p.command = command(p.settingsFile)
	file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		p.tb.Fatal(err)
	}
	defer file.Close()
	p.command.Stderr = file
	if err := startProcess(p.command); err != nil {
		p.tb.Fatal(err)
	}
}

// writeSettings writes the controller's settings file.
func (p *controllerProcess) writeSettings() {
	p.tb.Helper()
	raw, err := toml.Marshal(p.config)
	if err != nil {
		p.tb.Fatal(err)
	}
	if err := os.WriteFile(p.settingsFile, raw, 0o600); err != nil {
		p.tb.Fatal(err)
	}
}

// stop signals the process, if one runs, and waits for its exit. A positive exit status fails the
// test: the process has failed, or the race detector has found a data race (status 66).
func (p *controllerProcess) stop(sig os.Signal) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(sig)
	_ = p.command.Process.Signal(syscall.SIGCONT) // a frozen process handles no other signal
	_ = p.command.Wait()
	if status := p.command.ProcessState.ExitCode(); status > 0 {
		p.tb.Errorf("%s exited with status %d (set INTEGRATION_LOG to keep its log)", p.config.Member, status)
	}
	p.command = nil
}

// cpuTime returns the CPU time that the process has used. It skips the test if the kernel reports none.
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
			continue // the thread has exited
		}
		var ns int64
		if _, err := fmt.Sscan(string(raw), &ns); err != nil {
			p.tb.Skip("the kernel does not report CPU time")
		}
		total += time.Duration(ns)
	}
	return total
}

// residentMB returns the process's current and peak resident memory in MB.
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

// logFilePath returns the path of a controller's log: one below the path prefix INTEGRATION_LOG, which
// the test keeps, or one in dir if the variable is unset.
func logFilePath(test, member, dir string) string {
	prefix := os.Getenv("INTEGRATION_LOG")
	if prefix == "" {
		return filepath.Join(dir, member+".log")
	}
	return prefix + "-" + strings.ReplaceAll(test, "/", "-") + "-" + member + ".log"
}
