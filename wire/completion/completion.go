// Package completion builds the answer to a request that is not run on a database:
// the replay of the recorded result of a request with the same idempotency key, and
// the CommandComplete of a transaction that has already ended.
package completion

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

const headerBytes = 5 // type byte and length

// Result is the result of one statement, independent of the messages that
// requested it. Fields hold encoded backend messages.
type Result struct {
	// Parameters and Columns are the ParameterDescription and RowDescription, or nil.
	Parameters []byte `json:"parameters,omitempty"`
	Columns    []byte `json:"columns,omitempty"`
	// Rows holds the DataRow messages and Tag the CommandComplete.
	Rows []byte `json:"rows,omitempty"`
	Tag  []byte `json:"tag"`
}

// CommandComplete returns the result of a statement without rows that completed
// with the given command tag.
func CommandComplete(tag string) (Result, error) {
	b, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	return Result{Tag: b}, err
}

// Record extracts the result from the backend messages that answered a statement.
// It returns an error if a message is truncated.
func Record(answer []byte) (Result, error) {
	var r Result
	err := forEachMessage(answer, func(kind byte, message []byte) {
		switch kind {
		case 't':
			r.Parameters = message
		case 'T':
			r.Columns = message
		case 'D':
			r.Rows = append(r.Rows, message...)
		case 'C':
			r.Tag = message
		}
	})
	return r, err
}

// Replay returns the answer to the frontend messages of a repeated request, without
// ReadyForQuery. The request may use the simple or the extended protocol, whichever
// the first one used. An error means that the request or the result is malformed.
func (r Result) Replay(request []byte) (out []byte, err error) {
	w := replayer{recorded: r}
	err = forEachMessage(request, func(kind byte, message []byte) { w.answer(kind, message) })
	if err == nil {
		err = w.err
	}
	return w.out, err
}

// replayer builds the answer to a repeated request and keeps the first error.
type replayer struct {
	recorded Result
	out      []byte
	err      error
}

func (w *replayer) answer(kind byte, message []byte) {
	switch kind {
	case 'Q':
		w.out = append(w.out, w.recorded.Columns...)
		w.writeResult()
	case 'P':
		w.encode(&pgproto3.ParseComplete{})
	case 'B':
		w.encode(&pgproto3.BindComplete{})
	case 'C':
		w.encode(&pgproto3.CloseComplete{})
	case 'D':
		w.describe(message)
	case 'E':
		w.writeResult()
	}
}

func (w *replayer) writeResult() {
	w.out = append(w.out, w.recorded.Rows...)
	w.out = append(w.out, w.recorded.Tag...)
}

// describe answers a Describe. For a statement, as opposed to a portal, the answer
// starts with the ParameterDescription.
func (w *replayer) describe(message []byte) {
	ofStatement := len(message) > headerBytes && message[headerBytes] == 'S'
	switch {
	case !ofStatement:
	case w.recorded.Parameters != nil:
		w.out = append(w.out, w.recorded.Parameters...)
	default:
		w.encode(&pgproto3.ParameterDescription{})
	}
	if w.recorded.Columns == nil {
		w.encode(&pgproto3.NoData{})
		return
	}
	w.out = append(w.out, w.recorded.Columns...)
}

func (w *replayer) encode(m pgproto3.BackendMessage) {
	if w.err == nil {
		w.out, w.err = m.Encode(w.out)
	}
}

// forEachMessage calls visit with the type and encoding of each message of a
// sequence. It returns an error if one is truncated.
func forEachMessage(messages []byte, visit func(kind byte, message []byte)) error {
	for len(messages) > 0 {
		if len(messages) < headerBytes {
			return fmt.Errorf("truncated message header of %d bytes", len(messages))
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:headerBytes]))
		if size < headerBytes || size > int64(len(messages)) {
			return fmt.Errorf("message of %d bytes in %d bytes", size, len(messages))
		}
		visit(messages[0], messages[:size])
		messages = messages[size:]
	}
	return nil
}
