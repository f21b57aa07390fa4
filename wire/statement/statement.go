// Package statement gives prepared statements content-addressed names, so that
// callers with equal statements share one prepared statement per upstream connection.
package statement

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// hashBytes is the length of the part of the SHA-256 digest that is used in a name.
// 128 bits make it infeasible for a caller to craft a statement whose name collides
// with that of another, and keep the name within the 63 bytes of an identifier.
const hashBytes = 16

// Prepared is a prepared statement under its name on upstream connections.
type Prepared struct {
	Name          string   `json:"name"`
	SQL           string   `json:"sql"`
	ParameterOIDs []uint32 `json:"parameter_oids,omitempty"`
}

// New returns the statement with its content-addressed name. Equal SQL texts with
// equal parameter types get the same name.
func New(sql string, parameterOIDs []uint32) Prepared {
	return Prepared{Name: name(sql, parameterOIDs), SQL: sql, ParameterOIDs: parameterOIDs}
}

// name returns the hash of the SQL text and the OIDs. It also hashes the length of
// the text, so that the boundary between text and OIDs is unambiguous.
func name(sql string, oids []uint32) string {
	buf := make([]byte, 0, 8+len(sql)+4*len(oids))
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(sql)))
	buf = append(buf, sql...)
	for _, oid := range oids {
		buf = binary.BigEndian.AppendUint32(buf, oid)
	}
	sum := sha256.Sum256(buf)
	return "p_" + hex.EncodeToString(sum[:hashBytes])
}
