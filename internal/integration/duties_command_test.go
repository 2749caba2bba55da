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
	program := binary(t, "")
	f := newFreezes(t)
	ask := func(node int) (string, error) {
		out, err := exec.CommandContext(t.Context(), program, "duties", "--addr", f.nodes[node].cfg.PeerBind).CombinedOutput()
		return string(out), err
	}
	expect := func(node int, words ...string) string {
		t.Helper()
		out, err := ask(node)
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
	held := f.gate.hold(onTheWay, callsCloud(intentlog.Deprovision))
	if !held.wait(waitLimit) {
		t.Fatal("no deletion")
	}
	old := -1
	f.locked(func() { old = f.NodeIndex(f.holderName()) })
	name := f.nodes[old].cfg.Member
	token, _ := f.progress()
	expect(old, "in force", "held by "+name, "rent", "return", "reclaim", "clean-up", "sent", fmt.Sprintf("entered under token %d", token))
	f.signal(old, syscall.SIGSTOP)
	other := (old + 1) % len(f.nodes)
	t.Logf("right after the freeze:\n%s", expect(other, "held by "+name, "return"))
	f.until("another token", func() bool { return f.currentToken() > token })
	out := expect(other, "token")
	if strings.Contains(out, "held by "+name) {
		t.Errorf("still held by the frozen one:\n%s", out)
	}
	t.Logf("after the takeover:\n%s", out)
	if out, err := ask(old); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("the frozen controller: %v, %q", err, out)
	}
	held.release()
	f.signal(old, syscall.SIGCONT)
	f.finish()
	for _, n := range f.nodes {
		n.end(syscall.SIGTERM) // what is left of the traces is written
	}
	f.checkJoined()
}
