package wire

import (
	"bytes"
	"encoding/json"

	fastjson "github.com/segmentio/encoding/json"
)

const (
	// longNumberDigits is the least number of digits in a row that may exceed a uint64.
	longNumberDigits = 20
	// maxNesting is how many objects and arrays a body may hold to be given to a decoder that
	// does not bound nesting. The largest valid body, with a hundred bytes a task, stays below it.
	maxNesting = 1000
)

// ParseHeartbeat reads a worker's heartbeat, and accepts and rejects what encoding/json does.
//
// Heartbeats are most of what a controller reads, and encoding/json took a third of the cost of
// answering one; the decoder of segmentio takes a fifth of that. But it takes numbers beyond 64
// bits for others and does not bound nesting, so bodies that may hold either go to encoding/json.
func ParseHeartbeat(raw []byte, heartbeat *Heartbeat) error {
	nesting := bytes.Count(raw, []byte("{")) + bytes.Count(raw, []byte("["))
	if nesting > maxNesting || hasLongNumber(raw) {
		return json.Unmarshal(raw, heartbeat)
	}
	return fastjson.Unmarshal(raw, heartbeat)
}

// hasLongNumber reports whether there are so many digits in a row that the number may exceed 64
// bits.
func hasLongNumber(raw []byte) bool {
	// Looking at every longNumberDigits-th byte suffices: one of them is in such a row.
	for i := longNumberDigits - 1; i < len(raw); i += longNumberDigits {
		if !isDigit(raw[i]) {
			continue
		}
		first, last := i, i
		for first > 0 && isDigit(raw[first-1]) {
			first--
		}
		for last < len(raw)-1 && isDigit(raw[last+1]) {
			last++
		}
		if last-first+1 >= longNumberDigits {
			return true
		}
	}
	return false
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
