package integration

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"juniperchute/internal/intentlog"
)

// TestDutiesCommand guards against wrong output of the command that shows the intent log. It queries
// the lease holder, its peer during a failover, and the frozen lease holder.
func TestDutiesCommand(t *testing.T) {
	t.Parallel()
	command := dutiesCommand{t: t, program: buildVersion(t, ""), test: newStallTest(t)}
	test := command.test
	held := test.gate.hold(beforeCall, callsCloud(intentlog.Deprovision))
	if !held.wait(waitTimeout) {
		t.Fatal("no deletion call to the cloud")
	}
	oldHolder := test.requireLeaseHolder()
	name := test.controllers[oldHolder].config.Member
	token, _ := test.progress()
	command.requireWords(oldHolder, "in force", "held by "+name, "rent", "return", "reclaim", "clean-up", "sent",
		fmt.Sprintf("entered under token %d", token))
	test.signal(oldHolder, syscall.SIGSTOP)
	other := (oldHolder + 1) % len(test.controllers)
	t.Logf("before the failover:\n%s", command.requireWords(other, "held by "+name, "return"))
	test.waitUntil("a higher token", func() bool { return test.currentToken() > token })
	output := command.requireWords(other, "token")
	if strings.Contains(output, "held by "+name) {
		t.Errorf("lease still held by the frozen controller:\n%s", output)
	}
	t.Logf("after the failover:\n%s", output)
	if output, err := command.run(oldHolder); err == nil || strings.Count(output, "\n") != 1 {
		t.Errorf("frozen controller: got %v, %q, want an error in one line", err, output)
	}
	held.release()
	test.signal(oldHolder, syscall.SIGCONT)
	test.finish()
	for _, controller := range test.controllers {
		controller.stop(syscall.SIGTERM) // a clean exit flushes the traces
	}
	test.checkTraces()
}

// dutiesCommand runs the program's "duties" command against a deployment.
type dutiesCommand struct {
	t       *testing.T
	program string
	test    *stallTest
}

// run executes the command for a controller and returns its combined output.
func (c dutiesCommand) run(controller int) (output string, err error) {
	address := c.test.controllers[controller].config.PeerBind
	raw, err := exec.CommandContext(c.t.Context(), c.program, "duties", "--addr", address).CombinedOutput()
	return string(raw), err
}

// requireWords runs the command for a controller and checks that the output contains words.
func (c dutiesCommand) requireWords(controller int, words ...string) (output string) {
	c.t.Helper()
	output, err := c.run(controller)
	if err != nil {
		c.t.Errorf("%v: %s", err, output)
	}
	for _, word := range words {
		if !strings.Contains(output, word) {
			c.t.Errorf("%q is missing in\n%s", word, output)
		}
	}
	return output
}
