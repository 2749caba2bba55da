package wire

import (
	"bytes"
	"encoding/json"

	fast "github.com/segmentio/encoding/json"
)

const (
	// longNumberDigits is how many digits in a row may be more than a uint64 holds.
	longNumberDigits = 20
	// maxNesting is how many objects and arrays a body may hold that a decoder
	// without a bound on nesting is given: the largest body with a task a hundred
	// bytes stays below it.
	maxNesting = 1000
)

// ParseHeartbeat reads a worker's report. Reports are most of what a holder reads, and
// encoding/json took a third of all it costs to answer one; its kin takes a fifth of
// that. The kin takes numbers beyond 64 bits for others and has no bound on nesting:
// bodies that could hold either are left to encoding/json.
func ParseHeartbeat(raw []byte, heartbeat *Heartbeat) error {
	if bytes.Count(raw, []byte("{"))+bytes.Count(raw, []byte("[")) > maxNesting || hasLongNumber(raw) {
		return json.Unmarshal(raw, heartbeat)
	}
	return fast.Unmarshal(raw, heartbeat)
}

// hasLongNumber tells whether there are as many digits in a row as make a number
// beyond 64 bits.
func hasLongNumber(raw []byte) bool {
	// whatever the position, every longNumber-th byte of such a row is a digit
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
