package integration

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"testing"
)

// A controller that is away has to find its ports free when it is back, and before its
// first start as well. The kernel gives a port that nobody listens on to whoever asks for
// one next: a deployment that ran beside this one got it now and then, and each took the
// other's controller for its own. So each deployment has a loopback host for itself.
const (
	// controllerHosts numbers the hosts; the first that is not in use is taken.
	controllerHosts    = "127.2.0.%d"
	controllerHostsMax = 250
	// reservationPort is listened on for as long as a deployment has the host. It and the
	// ports above it lie below those that the kernel gives out.
	reservationPort = 20000
)

// controllerAddresses are where one controller listens.
type controllerAddresses struct {
	peer, api string
}

// reserveAddresses finds addresses for controllers and reserves them until the test's end.
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
			reservation.Close() // a controller has outlived a test that was killed
			continue
		}
		tb.Cleanup(func() { reservation.Close() })
		return addresses
	}
	tb.Fatal("no loopback host is free for the controllers")
	return nil
}

// addressesOn numbers the ports of controllers on a host.
func addressesOn(host string, controllers int) []controllerAddresses {
	var addresses []controllerAddresses
	for i := range controllers {
		port := reservationPort + 1 + 2*i
		addresses = append(addresses, controllerAddresses{peer: hostPort(host, port), api: hostPort(host, port+1)})
	}
	return addresses
}

// hostPort is an address with a port.
func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// inUse reports whether somebody listens at one of the addresses.
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

// TestReserveAddresses checks that deployments at the same time have no address in common, also when
// no controller listens, and that a host that a controller still listens on is left out.
func TestReserveAddresses(t *testing.T) {
	const deployments, controllers = 20, 3
	taken := map[string]bool{}
	for range deployments {
		for _, a := range reserveAddresses(t, controllers) {
			for _, address := range []string{a.peer, a.api} {
				if taken[address] {
					t.Errorf("%s is given out twice", address)
				}
				taken[address] = true
			}
		}
	}
	var left net.Listener
	t.Run("a test that leaves a controller", func(t *testing.T) {
		var err error
		if left, err = net.Listen("tcp", reserveAddresses(t, controllers)[0].api); err != nil {
			t.Fatal(err)
		}
	})
	defer left.Close()
	for _, a := range reserveAddresses(t, controllers) {
		if a.api == left.Addr().String() {
			t.Errorf("%s is given out although a controller listens there", a.api)
		}
	}
}
