package integration

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// processStarts receives the processes to start. One thread starts all of them; see startProcess.
var processStarts = sync.OnceValue(func() chan<- processStart {
	starts := make(chan processStart)
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start.result <- start.command.Start()
		}
	}()
	return starts
})

// processStart is the request to start a process.
type processStart struct {
	command *exec.Cmd
	result  chan error
}

// startProcess starts a process that the kernel kills when this process ends, however it ends. The kernel
// watches the thread that started the process, so that thread must not end earlier.
func startProcess(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	start := processStart{command: command, result: make(chan error)}
	processStarts() <- start
	return <-start.result
}
