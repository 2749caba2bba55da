package integration

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
)

const (
	// leakEnv makes the test binary start a controller with this settings file, print its process ID
	// and wait to be killed, like a test.
	leakEnv = "INTEGRATION_LEAK"
	// exitTimeout bounds the time from the end of a test process to that of its controllers.
	exitTimeout = 5 * time.Second
)

// runLeakingTest starts a controller and blocks until the process is killed.
func runLeakingTest(settingsFile string) error {
	command := controllerCommand(settingsFile, leakEnv+"=")
	if err := startProcess(command); err != nil {
		return err
	}
	fmt.Println(command.Process.Pid)
	return command.Wait()
}

// Guards against controllers that survive a killed test, and join the deployment of a later test whose
// state service listens on the same port.
func TestControllersEndWithKilledTest(t *testing.T) {
	settingsFile := writeLeakSettings(t)
	test := exec.Command(os.Args[0])
	test.Env = append(os.Environ(), leakEnv+"="+settingsFile)
	output, err := test.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := test.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatalf("read process ID of the controller: %v", err)
	}
	controller, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Kill(controller, syscall.SIGKILL) }()
	_ = test.Process.Kill()
	_ = test.Wait()
	for end := time.Now().Add(exitTimeout); processRuns(controller); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the controller still runs %v after its test was killed: %s",
				exitTimeout, processState(controller))
		}
	}
}

// writeLeakSettings writes the settings of a controller that finds none of its servers.
func writeLeakSettings(t *testing.T) string {
	addresses := reserveAddresses(t, 1)[0]
	process := controllerProcess{tb: t, settingsFile: filepath.Join(t.TempDir(), "leak.toml"), config: config.Config{
		Member:   "node-0",
		Zone:     "a",
		PeerBind: addresses.peer,
		APIAddr:  addresses.api,
		External: config.External{State: "127.0.0.1:1", Cloud: "127.0.0.1:1"},
		Platform: fakes.DeploymentConfig([]string{"a"}, []config.Team{{Name: "red"}}, 1, 6),
	}}
	process.writeSettings()
	return process.settingsFile
}

// processRuns reports whether a process exists and is no zombie.
func processRuns(pid int) bool {
	state := processState(pid)
	return state != "exited" && !strings.HasPrefix(state, "Z")
}

// Guards against a controller that survives its test and whose state service's address is used again: a
// deployment's servers must listen on its reserved address, which stays taken while a controller runs.
func TestServersUseReservedAddress(t *testing.T) {
	hosts := map[string]bool{}
	for range 2 {
		d := newDeployment(t, fakes.DeploymentConfig([]string{"a"}, nil, 1, 6), upgradeMachineType(), 1)
		settings := d.controllers[0].config
		reserved, _, err := net.SplitHostPort(settings.PeerBind)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range []string{settings.External.State, settings.External.Cloud} {
			if host, _, err := net.SplitHostPort(address); err != nil || host != reserved {
				t.Errorf("a server of the deployment at %s listens on %s", reserved, address)
			}
		}
		if hosts[reserved] {
			t.Errorf("two deployments use %s", reserved)
		}
		hosts[reserved] = true
	}
}
