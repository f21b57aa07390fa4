// Package completion builds the answer to statements that papayarail answers
// itself, such as the end of a transaction that has already rolled back.
package completion

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

const messageHeader = 5 // type byte and length of a frontend message

// Build returns backend messages, without ReadyForQuery, that answer each of
// the frontend messages as a statement without rows and with the given tag.
func Build(messages []byte, tag string) (out []byte, err error) {
	done := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	answers := map[byte]pgproto3.BackendMessage{
		'Q': done,
		'P': &pgproto3.ParseComplete{},
		'B': &pgproto3.BindComplete{},
		'D': &pgproto3.NoData{},
		'E': done,
		'C': &pgproto3.CloseComplete{},
	}
	for len(messages) >= messageHeader {
		kind := messages[0]
		size := 1 + int(binary.BigEndian.Uint32(messages[1:messageHeader]))
		if size > len(messages) {
			break
		}
		messages = messages[size:]
		answer := answers[kind]
		if answer == nil {
			continue
		}
		if out, err = answer.Encode(out); err != nil {
			return nil, err
		}
	}
	return out, nil
}
