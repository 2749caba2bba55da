package store

import (
	"encoding/json"
	"fmt"

	"juniperchute/internal/wire"
)

// Put is the write of a value as JSON, bound to a lease unless that is 0. It panics when
// the value has no JSON form, which is a fault in the program.
func Put(key string, value any, lease uint64) wire.Write {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("store: marshal value of %s: %v", key, err))
	}
	return wire.Write{Put: key, Value: raw, Lease: lease}
}

// Delete is the removal of a key.
func Delete(key string) wire.Write { return wire.Write{Delete: key} }

// VersionEquals is the compare that holds while a key has a version; 0 means that the key
// does not exist.
func VersionEquals(key string, version uint64) wire.Compare {
	return wire.Compare{Key: key, Version: version}
}
