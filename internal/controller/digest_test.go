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

// digestVariable names the environment variable that holds the path of the digest file. Without it
// no digests are computed.
const digestVariable = "SIMULATION_DIGEST"

// digestFileMutex serialises the writes of parallel simulations to the digest file.
var digestFileMutex sync.Mutex

// digest hashes the content and the simulated time of every effect of a simulation's controllers.
// Equal digests before and after a refactoring show that behaviour is unchanged. The hash depends on
// no name of a Go type or field. A nil digest records nothing.
type digest struct {
	hash    hash.Hash
	effects int // number of effects hashed
}

// newDigest returns the digest of a simulation, which is written to the digest file when the test
// ends. It returns nil if digestVariable is not set.
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

// write appends a line with the test's name, the number of its effects and their hash to a file.
func (d *digest) write(file, name string) error {
	digestFileMutex.Lock()
	defer digestFileMutex.Unlock()
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open digest file: %w", err)
	}
	if _, err := fmt.Fprintf(out, "%q %d %x\n", name, d.effects, d.hash.Sum(nil)); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// add hashes one effect of a node: protobuf parts in their wire form, others as JSON. The names of the
// kinds are hashed too, so a changed name changes the digest.
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
			panic(fmt.Sprintf("encode %s effect for digest: %v", kind, err))
		}
		fmt.Fprintf(d.hash, "%d %s\n", len(raw), raw)
	}
}

// sinceEpoch returns the nanoseconds from the start of simulated time to at, or -1 for the zero time.
func sinceEpoch(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return int64(at.Sub(fakes.Epoch))
}

// recordStateCall adds a call to the state service to the digest.
func (sim *simulation) recordStateCall(node string, c store.Call) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "state",
			c.Op, c.Priority, c.Key, c.Prefix, c.After, c.SinceRevision, c.PageSize,
			c.Transaction, c.Lease, c.LeaseTTL, c.WatchWaitMs)
	}
}

// recordCloudCall adds a call to the cloud to the digest.
func (sim *simulation) recordCloudCall(node string, c cloud.Call) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "cloud", c.Operation, c.Request, c.Hosts, c.After, sinceEpoch(c.Deadline))
	}
}

// recordCommand adds a direct command to a worker to the digest.
func (sim *simulation) recordCommand(node, address string, commands wire.DirectCommands, deadline time.Time) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "command", address, commands, sinceEpoch(deadline))
	}
}

// recordPeerCall adds a request to another controller to the digest.
func (sim *simulation) recordPeerCall(node, member, method string, message proto.Message) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "peer", member, method, message)
	}
}

// recordPeerReply adds a controller's reply to a peer to the digest.
func (sim *simulation) recordPeerReply(node, method string, message proto.Message) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "peer answer", method, message)
	}
}

// recordWorkerResponse adds a controller's response to a worker's heartbeat to the digest.
func (sim *simulation) recordWorkerResponse(node, host string, status int, body any) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "worker answer", host, status, body)
	}
}

// recordUserResponse adds a controller's response to a user's request to the digest.
func (sim *simulation) recordUserResponse(node string, r submission.Response) {
	if d := sim.digest; d != nil {
		d.add(sim.clock.Now(), node, "user answer", r.Status, r.Body, r.RetryAfter)
	}
}
