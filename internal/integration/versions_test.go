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

// Commits from which upgrades start, in addition to the production commit.
const (
	// predecessorCommit is the head of main before the upgrade tests were added.
	predecessorCommit = "288c544d9a91dd8711b6831b3f3e5cbb209030c9"
	// preRenameCommit is the head of main before the identifiers were renamed. Its behavior
	// is that of the current version, so both versions must interoperate.
	preRenameCommit = "6c35e8cd2597650473c98eb971fc2ee6d4102756"
)

// buildCommand matches the build command in deploy/service.toml.
var buildCommand = []string{"go", "build", "-ldflags=-linkmode=external"}

var errNoHistory = errors.New(
	"repository history is incomplete: fetch it for the upgrade tests (git fetch --unshallow)")

// builtBinaries caches the built programs by commit. The key "" is the working tree.
var builtBinaries = struct {
	sync.Mutex
	dir  string
	path map[string]string
}{path: map[string]string{}}

// repositoryRoot returns the root directory of the repository that contains the test.
func repositoryRoot() (string, error) {
	out, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("find repository root: %w: %w", errNoHistory, err)
	}
	return strings.TrimSpace(string(out)), nil
}

// buildVersion returns the path of the program built from a commit, or from the working tree.
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

// buildBinary builds the program of a commit, or of the working tree; builtBinaries must be locked.
func buildBinary(commit string) (string, error) {
	root, err := repositoryRoot()
	if err != nil {
		return "", err
	}
	if builtBinaries.dir == "" {
		if builtBinaries.dir, err = os.MkdirTemp("", "juniperchute-versions"); err != nil {
			return "", fmt.Errorf("create build directory: %w", err)
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
		return "", fmt.Errorf("build commit %q: %w\n%s", commit, err, out)
	}
	return path, nil
}

// checkOut writes the files of a commit to a directory. It returns errNoHistory for a missing commit.
func checkOut(root, commit, dir string) error {
	if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		return fmt.Errorf("check out commit %s: %w", commit, errNoHistory)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create source directory: %w", err)
	}
	index := "GIT_INDEX_FILE=" + dir + ".index"
	for _, args := range [][]string{
		{"-C", root, "read-tree", commit},
		{"-C", root, "checkout-index", "--all", "--prefix=" + dir + "/"},
	} {
		command := exec.Command("git", args...)
		command.Env = append(os.Environ(), index)
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("check out commit %s: %w\n%s", commit, err, out)
		}
	}
	return nil
}

// productionCommit returns the commit in production, as listed in deploy/service.toml.
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
		t.Fatal("deploy/service.toml contains no production commit")
	}
	return string(match[1])
}

// TestProductionVersion guards against upgrade tests that start from commits which are not ancestors
// of the current version, and against an unspecific error for a missing commit.
func TestProductionVersion(t *testing.T) {
	root, err := repositoryRoot()
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range []string{productionCommit(t), predecessorCommit, preRenameCommit} {
		if err := exec.Command("git", "-C", root, "merge-base", "--is-ancestor", commit, "HEAD").Run(); err != nil {
			t.Errorf("commit %s is not an ancestor of the current version: %v", commit, err)
		}
	}
	if err := checkOut(root, strings.Repeat("0", 40), t.TempDir()); !errors.Is(err, errNoHistory) {
		t.Errorf("missing commit: got error %v, want %v", err, errNoHistory)
	}
}
