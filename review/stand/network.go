package stand

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ports below the kernel's ephemeral range: a controller must find its port free at each start.
const (
	firstPort = 21000
	lastPort  = 31000
)

var (
	portLock sync.Mutex
	lastUsed = firstPort
)

// ownHost is the loopback address of this process's deployment. Deployments side by side have different ones.
var ownHost = func() string {
	const low, high = 250, 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 20+pid/low%high, 1+pid%low)
}()

// address returns an address of the deployment.
func address(port int) string { return fmt.Sprintf("%s:%d", ownHost, port) }

// FreePort returns a free port, which it returns only once.
func FreePort() int {
	portLock.Lock()
	defer portLock.Unlock()
	for {
		lastUsed++
		if lastUsed > lastPort {
			lastUsed = firstPort
		}
		listener, err := net.Listen("tcp", address(lastUsed))
		if err == nil {
			listener.Close()
			return lastUsed
		}
	}
}

// Serve starts a server on a free port and returns its address.
func Serve(handler http.Handler) string {
	for {
		listener, err := net.Listen("tcp", address(FreePort()))
		if err != nil {
			continue
		}
		go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
		return listener.Addr().String()
	}
}

// Link is a proxy between two parties. While it is cut it holds back what is sent and connects nobody.
type Link struct {
	Address string
	target  string
	mu      sync.Mutex
	cut     bool
}

// NewLink returns a link to an address.
func NewLink(target string) *Link {
	for {
		l := &Link{Address: address(FreePort()), target: target}
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			continue
		}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go l.connect(conn)
			}
		}()
		return l
	}
}

// SetCut cuts the link or mends it.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *Link) wait() {
	for {
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Link) connect(near net.Conn) {
	defer near.Close()
	l.wait()
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	ended := make(chan struct{}, 2)
	go l.copy(far, near, ended)
	go l.copy(near, far, ended)
	<-ended
}

func (l *Link) copy(to io.Writer, from io.Reader, ended chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ended <- struct{}{}
}

type peerKey struct{}

// withPeer notes which process has opened a connection: its socket's inode.
func withPeer(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, peerKey{}, inodeOf(conn.RemoteAddr(), conn.LocalAddr()))
}

// inodeOf returns the inode of the socket with a local and a remote address, "" if there is none.
func inodeOf(local, remote net.Addr) string {
	raw, _ := os.ReadFile("/proc/net/tcp")
	want := procAddress(local) + " " + procAddress(remote)
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, want) {
			if fields := strings.Fields(line); len(fields) > 9 {
				return fields[9]
			}
		}
	}
	return ""
}

// procAddress returns an address as /proc/net/tcp shows it.
func procAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := slices.Clone(tcp.IP.To4())
	slices.Reverse(ip)
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), tcp.Port)
}

// sender returns the index of the controller that has sent a request, -1 if it is none.
func (f *Fleet) sender(req *http.Request) int {
	inode, _ := req.Context().Value(peerKey{}).(string)
	for i, node := range f.Nodes {
		if inode != "" && node.owns(inode) {
			return i
		}
	}
	return -1
}
