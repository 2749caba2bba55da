package integration

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"juniperchute/internal/intentlog"
)

// The command that shows the duties, asked of the holder, of another controller while the
// holder is frozen and a takeover is going on, and of the frozen one.
func TestDutiesCommand(t *testing.T) {
	t.Parallel()
	program := buildVersion(t, "")
	test := newStallTest(t)
	runCommand := func(node int) (string, error) {
		out, err := exec.CommandContext(t.Context(), program, "duties", "--addr", test.controllers[node].config.PeerBind).CombinedOutput()
		return string(out), err
	}
	expect := func(node int, words ...string) string {
		t.Helper()
		out, err := runCommand(node)
		if err != nil {
			t.Errorf("%v: %s", err, out)
		}
		for _, word := range words {
			if !strings.Contains(out, word) {
				t.Errorf("%q is not in\n%s", word, out)
			}
		}
		return out
	}
	held := test.gate.hold(beforeCall, callsCloud(intentlog.Deprovision))
	if !held.wait(waitTimeout) {
		t.Fatal("no deletion")
	}
	oldHolder := -1
	test.withLock(func() { oldHolder = test.NodeIndex(test.leaseHolderName()) })
	name := test.controllers[oldHolder].config.Member
	token, _ := test.progress()
	expect(oldHolder, "in force", "held by "+name, "rent", "return", "reclaim", "clean-up", "sent", fmt.Sprintf("entered under token %d", token))
	test.signal(oldHolder, syscall.SIGSTOP)
	other := (oldHolder + 1) % len(test.controllers)
	t.Logf("right after the freeze:\n%s", expect(other, "held by "+name, "return"))
	test.waitUntil("another token", func() bool { return test.currentToken() > token })
	out := expect(other, "token")
	if strings.Contains(out, "held by "+name) {
		t.Errorf("still held by the frozen one:\n%s", out)
	}
	t.Logf("after the takeover:\n%s", out)
	if out, err := runCommand(oldHolder); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("the frozen controller: %v, %q", err, out)
	}
	held.release()
	test.signal(oldHolder, syscall.SIGCONT)
	test.finish()
	for _, controller := range test.controllers {
		controller.stop(syscall.SIGTERM) // what is left of the traces is written
	}
	test.checkTraces()
}
