package wire

import (
	"bytes"
	"encoding/json"

	fastjson "github.com/segmentio/encoding/json"
)

const (
	// longNumberDigits is the smallest number of digits that can exceed a uint64.
	longNumberDigits = 20
	// maxNesting is the largest number of objects and arrays in a body for the fast decoder, which
	// does not bound nesting. Heartbeats have fewer, as each task takes about a hundred bytes.
	maxNesting = 1000
)

// ParseHeartbeat decodes a worker's heartbeat. It accepts the same inputs as encoding/json.
//
// It uses the faster decoder of segmentio, as heartbeats are most of a controller's load. That decoder
// overflows on numbers beyond 64 bits and does not bound nesting, so bodies with either are decoded by
// encoding/json.
func ParseHeartbeat(raw []byte, heartbeat *Heartbeat) error {
	nesting := bytes.Count(raw, []byte("{")) + bytes.Count(raw, []byte("["))
	if nesting > maxNesting || hasLongNumber(raw) {
		return json.Unmarshal(raw, heartbeat)
	}
	return fastjson.Unmarshal(raw, heartbeat)
}

// hasLongNumber reports whether raw has longNumberDigits or more consecutive digits, which may exceed
// 64 bits.
func hasLongNumber(raw []byte) bool {
	// every run of that many digits covers an inspected byte
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
