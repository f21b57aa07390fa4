// Package statement names prepared statements by their content, so that equal
// statements of different callers share one on each upstream connection.
package statement

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// hashBytes is the part of the SHA-256 digest that goes into a name. 128 bits
// make it infeasible for a caller to craft a statement that collides with
// another one, and the name stays below the 63 bytes of an identifier.
const hashBytes = 16

// Prepared is a prepared statement as it is known on upstream connections.
type Prepared struct {
	Name          string   `json:"name"`
	SQL           string   `json:"sql"`
	ParameterOIDs []uint32 `json:"parameter_oids,omitempty"`
}

// New returns the statement with its content-addressed name.
func New(sql string, parameterOIDs []uint32) Prepared {
	return Prepared{Name: name(sql, parameterOIDs), SQL: sql, ParameterOIDs: parameterOIDs}
}

// name hashes the length of the SQL text before the text itself, so that the
// text and the OIDs cannot run into each other.
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
