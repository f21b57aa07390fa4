package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// KeyDigest is the SHA-256 digest of a caller's key, in hexadecimal. Keys themselves are
// kept nowhere, so that no log, dump or message can disclose one.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	digest := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(digest[:]))
}

// Workspace is a tenant: the callers that hold one of its keys.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority is the rank that the operators gave the workspace; 0 comes first.
	Priority int
	// Rate and Burst limit the operations of the workspace on all instances together: Rate
	// is in operations per second, Burst is the number that may exceed it at once. A Rate
	// of 0 means that there is no limit.
	Rate  float64
	Burst float64
}

// Equal reports whether two workspaces are the same, the order of their keys included.
func (w Workspace) Equal(other Workspace) bool {
	return w.Name == other.Name && w.Priority == other.Priority && w.Rate == other.Rate && w.Burst == other.Burst && slices.Equal(w.Keys, other.Keys)
}
