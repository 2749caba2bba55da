package store

import (
	"encoding/json"
	"fmt"

	"juniperchute/internal/wire"
)

// Put returns a write that stores value as JSON. The key is attached to lease unless lease is 0.
// Put panics if value cannot be marshaled, which is a programming error.
func Put(key string, value any, lease uint64) wire.Write {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("store: marshal value of key %s: %v", key, err))
	}
	return wire.Write{PutKey: key, Value: raw, Lease: lease}
}

// Delete returns a write that deletes key. It has no effect if the key does not exist.
func Delete(key string) wire.Write { return wire.Write{DeleteKey: key} }

// VersionEquals returns a compare that succeeds while key has the given version. Version 0
// requires that the key does not exist.
func VersionEquals(key string, version uint64) wire.Compare {
	return wire.Compare{Key: key, Version: version}
}
