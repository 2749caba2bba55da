package leader

import (
	"testing"
	"time"
)

// peerAck is an acknowledgement of a peer. Times are in seconds on the lease holder's clock.
type peerAck struct {
	peer             string
	process          uint64
	startedAt, until float64
}

var watermarkCases = []struct {
	name  string
	peers []string
	read  float64 // time up to which writes have been read; 0: none
	acks  []peerAck
	want  float64 // watermark at 100 s
}{
	{
		name:  "reads only: watermark is the time of the read",
		peers: []string{"a", "b"},
		read:  10,
		want:  10,
	},
	{
		name:  "no read: acknowledgements do not start the watermark",
		peers: []string{"a"},
		acks:  []peerAck{{peer: "a", process: 1, until: 20}},
		want:  0,
	},
	{
		name: "no peers: watermark is the current time",
		read: 10,
		want: 100,
	},
	{
		name:  "all peers acknowledge: watermark is the earliest acknowledgement",
		peers: []string{"a", "b"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, until: 20},
		},
		want: 20,
	},
	{
		name:  "one peer without acknowledgement: no advance",
		peers: []string{"a", "b"},
		read:  10,
		acks:  []peerAck{{peer: "a", process: 1, until: 30}},
		want:  10,
	},
	{
		name:  "one peer started after the watermark: no advance",
		peers: []string{"a", "b"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, startedAt: 11, until: 20},
		},
		want: 10,
	},
	{
		name:  "one peer started before the watermark: its acknowledgement counts",
		peers: []string{"a", "b"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 1, until: 30},
			{peer: "b", process: 2, startedAt: 9, until: 20},
		},
		want: 20,
	},
	{
		name:  "one peer restarted during the outage: its process does not cover the previous one",
		peers: []string{"a", "b"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 1, until: 15},
			{peer: "b", process: 2, until: 14},
			{peer: "a", process: 1, until: 40},
			{peer: "b", process: 3, startedAt: 20, until: 40},
		},
		want: 10,
	},
	{
		name:  "older acknowledgement after a newer one: ignored",
		peers: []string{"a"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 1, until: 30},
			{peer: "a", process: 1, until: 20},
		},
		want: 30,
	},
	{
		name:  "delayed acknowledgement of a replaced process: ignored",
		peers: []string{"a"},
		read:  10,
		acks: []peerAck{
			{peer: "a", process: 2, startedAt: 12, until: 30},
			{peer: "a", process: 1, until: 11},
		},
		want: 10,
	},
	{
		name:  "acknowledgement without process ID: ignored",
		peers: []string{"a"},
		read:  10,
		acks:  []peerAck{{peer: "a", process: 0, until: 30}},
		want:  10,
	},
	{
		name:  "acknowledgement of a member that is no peer: ignored",
		peers: []string{"a"},
		read:  10,
		acks:  []peerAck{{peer: "x", process: 1, until: 30}},
		want:  10,
	},
	{
		name:  "acknowledgement older than the last read: no step back",
		peers: []string{"a"},
		read:  10,
		acks:  []peerAck{{peer: "a", process: 1, until: 7}},
		want:  10,
	},
}

// Guards against a watermark past a cancellation that the lease holder may not know.
func TestCancellationWatermark(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(s float64) time.Time {
		if s == 0 {
			return time.Time{}
		}
		return base.Add(time.Duration(s * float64(time.Second)))
	}
	for _, c := range watermarkCases {
		t.Run(c.name, func(t *testing.T) {
			w := NewCancellationWatermark(c.peers)
			w.AdvanceTo(at(c.read))
			for _, ack := range c.acks {
				w.Acknowledge(ack.peer, ack.process, at(ack.startedAt), at(ack.until))
			}
			if got := w.Advance(at(100)); !got.Equal(at(c.want)) {
				t.Errorf("watermark %v, want %v", got.Sub(base), at(c.want).Sub(base))
			}
		})
	}
}
