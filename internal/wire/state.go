package wire

import "encoding/json"

// Compare is a condition of a transaction: the key has this version, 0 if it must not exist.
type Compare struct {
	Key     string `json:"Path"`
	Version uint64 `json:"Stamp"`
}

// Write is one change of a transaction: either a put or a deletion.
type Write struct {
	Put    string          `json:"Write,omitempty"` // the key
	Value  json.RawMessage `json:",omitempty"`
	Lease  uint64          `json:"Hold,omitempty"`   // the key is deleted when it expires; 0: none
	Delete string          `json:"Remove,omitempty"` // the key
}

// Transaction is a compare-and-swap: the writes are executed, all together, if every condition
// holds.
type Transaction struct {
	Compares []Compare `json:"When,omitempty"`
	Writes   []Write   `json:",omitempty"`
}

// KeyValue is one key of the state service.
type KeyValue struct {
	Key     string `json:"Path"`
	Value   json.RawMessage
	Version uint64 `json:"Stamp"` // the revision of its last change
	Lease   uint64 `json:"Hold"`  // 0: none
}

// Event is one event of a watch: either a put or a deletion.
type Event struct {
	Put     string `json:"Write"` // the key
	Value   json.RawMessage
	Delete  string `json:"Remove"` // the key
	Version uint64 `json:"Stamp"`  // the revision of the change
}
