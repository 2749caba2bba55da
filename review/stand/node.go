package stand

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Node is a controller: a process of the program under test, with links to what it calls.
type Node struct {
	Name, Zone string
	API, Peer  string
	State      *Link
	Cloud      *Link
	Peers      map[string]*Link // to the other controllers, by name

	run      []string // of the deploy file
	settings string
	log      string
	record   *Record

	mu      sync.Mutex
	command *exec.Cmd
	inodes  map[string]bool // sockets known to be the process's
	Ended   []string        // ends that nobody asked for
	killing bool
}

// Site is what all controllers' settings have in common: the table facts, as TOML.
type Site struct {
	Facts  string
	Folder string // for settings files and logs
	Root   string // of the checkout
}

// deployValue returns a value of the deploy file.
func deployValue(root, name string) string {
	raw, _ := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, name+" = "); ok {
			return strings.Trim(value, "\"")
		}
	}
	return ""
}

// NewNodes configures controllers in the given zones, called node-0 and so on.
func NewNodes(site Site, zones []string, state, cloud string, record *Record) ([]*Node, error) {
	run := strings.Fields(deployValue(site.Root, "run"))
	if len(run) == 0 {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	run[0] = filepath.Join(site.Root, run[0])
	if _, err := os.Stat(run[0]); err != nil {
		return nil, err
	}
	var nodes []*Node
	for i, zone := range zones {
		name := fmt.Sprintf("node-%d", i)
		nodes = append(nodes, &Node{Name: name, Zone: zone, run: run, record: record,
			API: address(FreePort()), Peer: address(FreePort()),
			State: NewLink(state), Cloud: NewLink(cloud), Peers: map[string]*Link{},
			settings: filepath.Join(site.Folder, name+".toml"), log: filepath.Join(site.Folder, name+".log"),
			inodes: map[string]bool{}})
	}
	for _, node := range nodes {
		text := fmt.Sprintf("member = %q\narea = %q\napi_addr = %q\npeer_bind = %q\n", node.Name, node.Zone,
			node.API, node.Peer)
		for _, other := range nodes {
			if other != node {
				node.Peers[other.Name] = NewLink(other.Peer)
				text += fmt.Sprintf("\n[[known]]\nmember = %q\narea = %q\naddress = %q\n", other.Name, other.Zone,
					node.Peers[other.Name].Address)
			}
		}
		text += fmt.Sprintf("\n[external]\ncloud = %q\nstate = %q\n", node.Cloud.Address, node.State.Address)
		if err := os.WriteFile(node.settings, []byte(text+site.Facts), 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// Start starts the controller's process.
func (n *Node) Start() error {
	file, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command(n.run[0], append(n.run[1:len(n.run):len(n.run)], n.settings)...)
	command.Stderr = file
	if err := startProcess(command); err != nil {
		return err
	}
	n.command, n.inodes, n.killing = command, map[string]bool{}, false
	n.record.Printf("%s: started", n.Name)
	go func() {
		err := command.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.command == command && !n.killing {
			n.Ended = append(n.Ended, fmt.Sprint(err))
			n.record.Printf("%s: ended by itself: %v", n.Name, err)
		}
	}()
	return nil
}

// starts receives the processes to start. One thread starts all of them: the kernel kills a process when the
// thread that started it ends, and so when the case ends, however it ends.
var starts = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

func startProcess(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	starts() <- func() { result <- command.Start() }
	return <-result
}

// SetProgram changes the program of the controller's next process, such as one of an earlier version.
func (n *Node) SetProgram(path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.run = append([]string{path}, n.run[1:]...)
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil && n.command.Process != nil {
		n.killing = n.killing || sig == syscall.SIGKILL
		n.record.Printf("%s: %v", n.Name, sig)
		_ = n.command.Process.Signal(sig)
	}
}

// owns reports whether the controller's process has a socket open.
func (n *Node) owns(inode string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return false
	}
	if n.inodes[inode] {
		return true
	}
	folder := fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid)
	files, _ := os.ReadDir(folder)
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil {
			if target == "socket:["+inode+"]" {
				n.inodes[inode] = true
				return true
			}
		}
	}
	return false
}

// Log returns what the controller's processes have written.
func (n *Node) Log() string {
	raw, _ := os.ReadFile(n.log)
	return string(raw)
}

// StopAll kills all controllers.
func StopAll(nodes []*Node) {
	for _, node := range nodes {
		node.Signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
}
