package integration

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
)

// predecessorCommit is the head of main before the upgrade tests were written: what ran then
// can be upgraded as well as what production names.
const predecessorCommit = "288c544d9a91dd8711b6831b3f3e5cbb209030c9"

// buildCommand is how deploy/service.toml builds the program.
var buildCommand = []string{"go", "build", "-ldflags=-linkmode=external"}

var errNoHistory = errors.New("the upgrade tests need the repository's history: check it out whole (git fetch --unshallow)")

// builtBinaries are the programs built so far, by commit; "" is the working tree.
var builtBinaries = struct {
	sync.Mutex
	dir  string
	path map[string]string
}{path: map[string]string{}}

// TestMain runs the tests, or a controller for a benchmark, and removes what was built.
func TestMain(m *testing.M) {
	if file := os.Getenv(controllerEnv); file != "" {
		if err := runController(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	status := m.Run()
	if builtBinaries.dir != "" {
		_ = os.RemoveAll(builtBinaries.dir)
	}
	os.Exit(status)
}

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
	build := exec.Command(buildCommand[0], append(buildCommand[1:], "-buildvcs=false", "-o", path, "./cmd/juniperchute")...)
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
	for _, args := range [][]string{{"read-tree", commit}, {"checkout-index", "--all", "--prefix=" + dir + "/"}} {
		cmd := exec.Command("git", append([]string{"-C", root}, args...)...)
		cmd.Env = append(os.Environ(), index)
		if out, err := cmd.CombinedOutput(); err != nil {
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
	m := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(raw)
	if m == nil {
		t.Fatal("deploy/service.toml names no production version")
	}
	return string(m[1])
}

// The version in production is an ancestor of the present one, or no upgrade would be
// tested, and a commit that is not there is told in plain words.
func TestProductionVersion(t *testing.T) {
	root, err := repositoryRoot()
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range []string{productionCommit(t), predecessorCommit} {
		if err := exec.Command("git", "-C", root, "merge-base", "--is-ancestor", commit, "HEAD").Run(); err != nil {
			t.Errorf("%s is no ancestor of this version: %v", commit, err)
		}
	}
	if err := checkOut(root, strings.Repeat("0", 40), t.TempDir()); !errors.Is(err, errNoHistory) {
		t.Errorf("a missing commit: %v", err)
	}
}
