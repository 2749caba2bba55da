package wire

import "encoding/json"

// Compare is a condition of a transaction: the key has this version. Version 0: the key does not exist.
type Compare struct {
	Key     string `json:"Path"`
	Version uint64 `json:"Stamp"`
}

// Write is an operation of a transaction, either a put or a deletion.
type Write struct {
	PutKey    string          `json:"Write,omitempty"` // "" for a deletion
	Value     json.RawMessage `json:",omitempty"`
	Lease     uint64          `json:"Hold,omitempty"`   // lease whose expiry deletes the key; 0: none
	DeleteKey string          `json:"Remove,omitempty"` // "" for a put
}

// Transaction is a compare-and-swap: it executes all writes atomically if every condition holds.
type Transaction struct {
	Compares []Compare `json:"When,omitempty"`
	Writes   []Write   `json:",omitempty"`
}

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string `json:"Path"`
	Value   json.RawMessage
	Version uint64 `json:"Stamp"` // revision of the last change of the key
	Lease   uint64 `json:"Hold"`  // lease of the key; 0: none
}

// Event is an event of a watch, either a put or a deletion.
type Event struct {
	PutKey    string `json:"Write"` // "" for a deletion
	Value     json.RawMessage
	DeleteKey string `json:"Remove"` // "" for a put
	Version   uint64 `json:"Stamp"`  // revision of the change
}
