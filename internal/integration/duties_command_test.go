package integration

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"juniperchute/internal/intentlog"
)

// TestDutiesCommand has the command that shows the intent log ask the lease holder, another
// controller while the holder is frozen and a failover is going on, and the frozen one.
func TestDutiesCommand(t *testing.T) {
	t.Parallel()
	command := dutiesCommand{t: t, program: buildVersion(t, ""), test: newStallTest(t)}
	test := command.test
	held := test.gate.hold(beforeCall, callsCloud(intentlog.Deprovision))
	if !held.wait(waitTimeout) {
		t.Fatal("no deletion")
	}
	oldHolder := test.requireLeaseHolder()
	name := test.controllers[oldHolder].config.Member
	token, _ := test.progress()
	command.requireWords(oldHolder, "in force", "held by "+name, "rent", "return", "reclaim", "clean-up", "sent",
		fmt.Sprintf("entered under token %d", token))
	test.signal(oldHolder, syscall.SIGSTOP)
	other := (oldHolder + 1) % len(test.controllers)
	t.Logf("right after the freeze:\n%s", command.requireWords(other, "held by "+name, "return"))
	test.waitUntil("another token", func() bool { return test.currentToken() > token })
	output := command.requireWords(other, "token")
	if strings.Contains(output, "held by "+name) {
		t.Errorf("still held by the frozen one:\n%s", output)
	}
	t.Logf("after the failover:\n%s", output)
	if output, err := command.run(oldHolder); err == nil || strings.Count(output, "\n") != 1 {
		t.Errorf("the frozen controller: %v, %q", err, output)
	}
	held.release()
	test.signal(oldHolder, syscall.SIGCONT)
	test.finish()
	for _, controller := range test.controllers {
		controller.stop(syscall.SIGTERM) // what is left of the traces is written
	}
	test.checkTraces()
}

// dutiesCommand is the command "duties" of the program, run beside a deployment.
type dutiesCommand struct {
	t       *testing.T
	program string
	test    *stallTest
}

// run asks a controller.
func (c dutiesCommand) run(controller int) (output string, err error) {
	address := c.test.controllers[controller].config.PeerBind
	raw, err := exec.CommandContext(c.t.Context(), c.program, "duties", "--addr", address).CombinedOutput()
	return string(raw), err
}

// requireWords asks a controller and checks that words are in the output.
func (c dutiesCommand) requireWords(controller int, words ...string) (output string) {
	c.t.Helper()
	output, err := c.run(controller)
	if err != nil {
		c.t.Errorf("%v: %s", err, output)
	}
	for _, word := range words {
		if !strings.Contains(output, word) {
			c.t.Errorf("%q is not in\n%s", word, output)
		}
	}
	return output
}
