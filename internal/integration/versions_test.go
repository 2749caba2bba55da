package integration

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Commits that upgrades start from, beside the one that production names.
const (
	// predecessorCommit is the head of main before the upgrade tests were written.
	predecessorCommit = "288c544d9a91dd8711b6831b3f3e5cbb209030c9"
	// unrenamedCommit is the head of main before the whole tree got the names and the shape that it
	// has now: the two do the same, so they have to serve side by side.
	unrenamedCommit = "6c35e8cd2597650473c98eb971fc2ee6d4102756"
)

// buildCommand is how deploy/service.toml builds the program.
var buildCommand = []string{"go", "build", "-ldflags=-linkmode=external"}

var errNoHistory = errors.New(
	"the upgrade tests need the repository's history: check it out whole (git fetch --unshallow)")

// builtBinaries are the programs built so far, by commit; "" is the working tree.
var builtBinaries = struct {
	sync.Mutex
	dir  string
	path map[string]string
}{path: map[string]string{}}

// repositoryRoot is the directory of the repository that the test runs in.
func repositoryRoot() (string, error) {
	out, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNoHistory, err)
	}
	return strings.TrimSpace(string(out)), nil
}

// buildVersion is the program of a commit, or of the working tree.
func buildVersion(t *testing.T, commit string) string {
	t.Helper()
	builtBinaries.Lock()
	defer builtBinaries.Unlock()
	if path := builtBinaries.path[commit]; path != "" {
		return path
	}
	path, err := buildBinary(commit)
	if err != nil {
		t.Fatal(err)
	}
	builtBinaries.path[commit] = path
	return path
}

// buildBinary builds the program of a commit, or of the working tree; builtBinaries is locked.
func buildBinary(commit string) (string, error) {
	root, err := repositoryRoot()
	if err != nil {
		return "", err
	}
	if builtBinaries.dir == "" {
		if builtBinaries.dir, err = os.MkdirTemp("", "juniperchute-versions"); err != nil {
			return "", err
		}
	}
	sources, path := root, filepath.Join(builtBinaries.dir, "present")
	if commit != "" {
		sources, path = filepath.Join(builtBinaries.dir, "sources-"+commit), filepath.Join(builtBinaries.dir, commit)
		if err := checkOut(root, commit, sources); err != nil {
			return "", err
		}
	}
	args := append(slices.Clone(buildCommand[1:]), "-buildvcs=false", "-o", path, "./cmd/juniperchute")
	build := exec.Command(buildCommand[0], args...)
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %q: %w\n%s", commit, err, out)
	}
	return path, nil
}

// checkOut writes a commit's files to a directory.
func checkOut(root, commit, dir string) error {
	if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		return fmt.Errorf("commit %s: %w", commit, errNoHistory)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	index := "GIT_INDEX_FILE=" + dir + ".index"
	for _, args := range [][]string{
		{"-C", root, "read-tree", commit},
		{"-C", root, "checkout-index", "--all", "--prefix=" + dir + "/"},
	} {
		command := exec.Command("git", args...)
		command.Env = append(os.Environ(), index)
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("checking out %s: %w\n%s", commit, err, out)
		}
	}
	return nil
}

// productionCommit is the commit that deploy/service.toml names.
func productionCommit(t *testing.T) string {
	t.Helper()
	root, err := repositoryRoot()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(raw)
	if match == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(match[1])
}

// TestProductionVersion checks that the versions that upgrades start from are ancestors of the
// present one, or no upgrade would be tested, and that a missing commit has its own error.
func TestProductionVersion(t *testing.T) {
	root, err := repositoryRoot()
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range []string{productionCommit(t), predecessorCommit, unrenamedCommit} {
		if err := exec.Command("git", "-C", root, "merge-base", "--is-ancestor", commit, "HEAD").Run(); err != nil {
			t.Errorf("%s is no ancestor of this version: %v", commit, err)
		}
	}
	if err := checkOut(root, strings.Repeat("0", 40), t.TempDir()); !errors.Is(err, errNoHistory) {
		t.Errorf("a missing commit: %v", err)
	}
}
