package controller

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"os"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"juniperchute/internal/cloud"
	"juniperchute/internal/fakes"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// digestVariable names the environment variable with the file that digests are added to.
const digestVariable = "SIMULATION_DIGEST"

// digestFile serialises what parallel simulations add to the file.
var digestFile sync.Mutex

// digest hashes every effect that leaves the controllers of one simulation: the bytes and
// the simulated time. It shows whether a change of names or shape has changed behaviour.
// A nil digest records nothing. It names no Go type or field, so that renaming them
// leaves it as it is.
type digest struct {
	hash    hash.Hash
	effects int
}

// newDigest makes the digest of a simulation and has it written when the test ends. It is
// nil when no digests are asked for.
func newDigest(t *testing.T) *digest {
	file := os.Getenv(digestVariable)
	if t == nil || file == "" {
		return nil
	}
	d := &digest{hash: sha256.New()}
	t.Cleanup(func() {
		if err := d.write(file, t.Name()); err != nil {
			t.Errorf("write digest: %v", err)
		}
	})
	return d
}

// write adds a line with the test's name, the number of its effects and their hash.
func (d *digest) write(file, name string) error {
	digestFile.Lock()
	defer digestFile.Unlock()
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "%q %d %x\n", name, d.effects, d.hash.Sum(nil)); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// add hashes one effect.
func (d *digest) add(at time.Time, node, kind string, parts ...any) {
	d.effects++
	fmt.Fprintln(d.hash, sinceEpoch(at), node, kind)
	for _, part := range parts {
		var raw []byte
		var err error
		if message, ok := part.(proto.Message); ok {
			raw, err = proto.MarshalOptions{Deterministic: true}.Marshal(message)
		} else {
			raw, err = json.Marshal(part)
		}
		if err != nil {
			panic(fmt.Sprintf("digest of %s: %v", kind, err))
		}
		fmt.Fprintf(d.hash, "%d %s\n", len(raw), raw)
	}
}

// sinceEpoch is a simulated moment; the zero time stays apart from all of them.
func sinceEpoch(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return int64(at.Sub(fakes.Epoch))
}

func (sim *simulation) recordStateCall(node string, c store.Call) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "state",
			c.Op, c.Priority, c.Key, c.Prefix, c.After, c.SinceRevision, c.PageSize,
			c.Transaction, c.Lease, c.LeaseTTL, c.WatchWaitMs)
	}
}

func (sim *simulation) recordCloudCall(node string, c cloud.Call) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "cloud", c.Operation, c.Request, c.Hosts, c.After, sinceEpoch(c.Deadline))
	}
}

func (sim *simulation) recordCommand(node, address string, do wire.DirectCommands, by time.Time) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "command", address, do, sinceEpoch(by))
	}
}

// recordPeerCall records a message to another controller.
func (sim *simulation) recordPeerCall(node, member, method string, message proto.Message) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "peer", member, method, message)
	}
}

// recordPeerAnswer records what a controller answers another one.
func (sim *simulation) recordPeerAnswer(node, method string, message proto.Message) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "peer answer", method, message)
	}
}

// recordWorkerAnswer records what a controller answers a worker's heartbeat.
func (sim *simulation) recordWorkerAnswer(node, host string, status int, body any) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "worker answer", host, status, body)
	}
}

// recordUserAnswer records what a controller answers a user.
func (sim *simulation) recordUserAnswer(node string, r submission.Response) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "user answer", r.Status, r.Body, r.RetryAfter)
	}
}
