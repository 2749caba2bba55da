// Command 4 kills the lease holder; the state service goes down as its successor begins.
package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/review/stand2"
)

// outage is shorter than the 25 s of kit/sites (crvc-despacho-sanjose, day rough).
const outage = 20 * time.Second

// pairs is the number of jobs with a long task, and of those with a short one.
const pairs = 8

func main() { stand2.Main(stand2.Dispatch(), run) }

func run(d *stand2.Deployment) error {
	// Jobs of one task each, long and short in turn. When the short ones have ended, two machines run four
	// long tasks each, more or less, and have room.
	var long []string
	for i := range pairs {
		id := fmt.Sprintf("job-%06d", 100+i)
		long = append(long, id)
		if _, ok := d.Submit(stand2.Replay(id, 1), 100*time.Second); !ok {
			return errors.New("a job was not accepted")
		}
		if _, ok := d.Submit(stand2.Replay(fmt.Sprintf("job-%06d", 200+i), 1), 8*time.Second); !ok {
			return errors.New("a job was not accepted")
		}
	}
	running := func() bool {
		n := 0
		for _, id := range long {
			n += len(d.RunsOn(id))
		}
		return n == pairs
	}
	if !d.WaitFor(40*time.Second, "all long tasks run", running) {
		return errors.New("the long tasks did not start")
	}
	d.Sleep(12 * time.Second) // the short ones end
	if !stand2.Trouble() {
		d.Sleep(50 * time.Second)
		return nil
	}
	assigned := make(chan struct{}, 1)
	var holder *stand2.Controller
	d.With(func() {
		holder = d.Holder()
		// The outage begins when the successor has been assigned the shard, before it has read the records.
		d.Store.OnCall = func(call store.Call, err error) {
			if err != nil || call.Op != store.OpTransaction || !assigns(call.Transaction) {
				return
			}
			d.Store.OnCall = nil
			d.Clock.Schedule(0, func() {
				d.Store.SetUnavailable(true)
				d.Logf("state service: outage begins")
			})
			assigned <- struct{}{}
		}
	})
	if holder == nil {
		return errors.New("nobody holds the shard")
	}
	d.Kill(holder)
	time.AfterFunc(8*time.Second, func() { _ = d.Start(holder) })
	select {
	case <-assigned:
	case <-time.After(15 * time.Second):
		return errors.New("no successor")
	}
	d.Sleep(outage)
	d.With(func() {
		d.Store.SetUnavailable(false)
		d.Logf("state service: outage ends")
	})
	d.Sleep(20 * time.Second)
	return nil
}

// assigns reports whether a transaction assigns the shard to a member.
func assigns(transaction wire.Transaction) bool {
	for _, write := range transaction.Writes {
		if write.PutKey == "c/b/0" && !strings.Contains(string(write.Value), `"Holder":""`) {
			return true
		}
	}
	return false
}
