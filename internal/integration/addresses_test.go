package integration

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"testing"
)

// A controller must find its ports free at its first start and after each restart. The kernel may
// assign a port without a listener to another process, such as a controller of a deployment that
// runs in parallel. Each deployment therefore reserves its own loopback address. Its state service and
// its cloud use that address too: a controller that survives its test keeps the address reserved, and
// finds no server of a later deployment there.
const (
	// controllerHosts is the format of the loopback addresses; the first free one is reserved.
	controllerHosts    = "127.2.0.%d"
	controllerHostsMax = 250
	// reservationPort has a listener while a deployment uses the address. This port and the
	// controllers' ports above it are below the kernel's ephemeral port range.
	reservationPort = 20000
	statePort       = 20100
	cloudPort       = 20101
)

// controllerAddresses are the listen addresses of one controller.
type controllerAddresses struct {
	peer, api string
}

// host returns the loopback address that the deployment has reserved.
func (a controllerAddresses) host() string {
	host, _, _ := net.SplitHostPort(a.peer)
	return host
}

// reserveAddresses reserves addresses for controllers until the end of the test.
func reserveAddresses(tb testing.TB, controllers int) []controllerAddresses {
	tb.Helper()
	for n := range controllerHostsMax {
		host := fmt.Sprintf(controllerHosts, n+1)
		reservation, err := net.Listen("tcp", hostPort(host, reservationPort))
		if err != nil {
			continue
		}
		addresses := addressesOn(host, controllers)
		if slices.ContainsFunc(addresses, controllerAddresses.inUse) {
			reservation.Close() // a controller has survived a killed test
			continue
		}
		tb.Cleanup(func() { reservation.Close() })
		return addresses
	}
	tb.Fatal("no loopback address is free for the controllers")
	return nil
}

// addressesOn returns the addresses of controllers on a host, with consecutive ports.
func addressesOn(host string, controllers int) []controllerAddresses {
	var addresses []controllerAddresses
	for i := range controllers {
		port := reservationPort + 1 + 2*i
		addresses = append(addresses, controllerAddresses{peer: hostPort(host, port), api: hostPort(host, port+1)})
	}
	return addresses
}

// hostPort joins a host and a port to an address.
func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// inUse reports whether a process listens on one of the addresses.
func (a controllerAddresses) inUse() bool {
	for _, address := range []string{a.peer, a.api} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return true
		}
		listener.Close()
	}
	return false
}

// TestReserveAddresses guards against concurrent deployments that share an address, and against a
// reserved host on which a leaked controller still listens.
func TestReserveAddresses(t *testing.T) {
	const deployments, controllers = 20, 3
	taken := map[string]bool{}
	for range deployments {
		for _, a := range reserveAddresses(t, controllers) {
			for _, address := range []string{a.peer, a.api} {
				if taken[address] {
					t.Errorf("%s is reserved twice", address)
				}
				taken[address] = true
			}
		}
	}
	var leaked net.Listener
	t.Run("test leaks a controller", func(t *testing.T) {
		var err error
		if leaked, err = net.Listen("tcp", reserveAddresses(t, controllers)[0].api); err != nil {
			t.Fatal(err)
		}
	})
	defer leaked.Close()
	for _, a := range reserveAddresses(t, controllers) {
		if a.api == leaked.Addr().String() {
			t.Errorf("%s is reserved although a controller listens on it", a.api)
		}
	}
}
