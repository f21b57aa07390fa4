// Package completion builds answers that do not come from a database at the
// time: the end of a transaction that has already rolled back, and the recorded
// answer of a request that has run before.
package completion

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

const messageHeader = 5 // type byte and length

// Result is the outcome of one statement, independent of the messages that
// asked for it. Fields hold encoded backend messages.
type Result struct {
	// Parameters and Columns are ParameterDescription and RowDescription, if any.
	Parameters []byte `json:"parameters,omitempty"`
	Columns    []byte `json:"columns,omitempty"`
	// Rows are the DataRow messages and Tag is the CommandComplete.
	Rows []byte `json:"rows,omitempty"`
	Tag  []byte `json:"tag"`
}

// CommandComplete is the outcome of a statement without rows.
func CommandComplete(tag string) (Result, error) {
	b, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	return Result{Tag: b}, err
}

// Record takes the outcome out of the backend messages that answered a statement.
func Record(answer []byte) (Result, error) {
	var r Result
	err := each(answer, func(kind byte, message []byte) {
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

// Replay answers the frontend messages of a repeated request, which may use the
// simple or the extended protocol whatever the first one used. The answer has no
// ReadyForQuery.
func (r Result) Replay(request []byte) (out []byte, err error) {
	w := replay{recorded: r}
	err = each(request, func(kind byte, message []byte) { w.answer(kind, message) })
	if err == nil {
		err = w.err
	}
	return w.out, err
}

type replay struct {
	recorded Result
	out      []byte
	err      error
}

func (w *replay) answer(kind byte, message []byte) {
	switch kind {
	case 'Q':
		w.out = append(w.out, w.recorded.Columns...)
		w.finish()
	case 'P':
		w.encode(&pgproto3.ParseComplete{})
	case 'B':
		w.encode(&pgproto3.BindComplete{})
	case 'C':
		w.encode(&pgproto3.CloseComplete{})
	case 'D':
		w.describe(message)
	case 'E':
		w.finish()
	}
}

func (w *replay) finish() {
	w.out = append(w.out, w.recorded.Rows...)
	w.out = append(w.out, w.recorded.Tag...)
}

// describe answers Describe; a statement is described by its parameters first.
func (w *replay) describe(message []byte) {
	ofStatement := len(message) > messageHeader && message[messageHeader] == 'S'
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

func (w *replay) encode(m pgproto3.BackendMessage) {
	if w.err == nil {
		w.out, w.err = m.Encode(w.out)
	}
}

// each visits the messages of a sequence.
func each(messages []byte, visit func(kind byte, message []byte)) error {
	for len(messages) > 0 {
		if len(messages) < messageHeader {
			return fmt.Errorf("truncated message header of %d bytes", len(messages))
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:messageHeader]))
		if size < messageHeader || size > int64(len(messages)) {
			return fmt.Errorf("message of %d bytes in %d bytes", size, len(messages))
		}
		visit(messages[0], messages[:size])
		messages = messages[size:]
	}
	return nil
}
