package hop

import (
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/papayarail/papayarail/proxy/statement"
)

// byteTexts holds the texts of a message, in a fixed order, if one of them is not UTF-8: JSON
// would replace its other bytes. They are encoded in base64. It is nil if all are UTF-8.
type byteTexts [][]byte

// allUTF8 reports whether all texts are UTF-8.
func allUTF8(texts []*string) bool {
	return !slices.ContainsFunc(texts, func(t *string) bool { return !utf8.ValidString(*t) })
}

// takeTexts moves texts that are not all UTF-8 to a byteTexts. Otherwise it leaves them.
func takeTexts(texts []*string) byteTexts {
	if allUTF8(texts) {
		return nil
	}
	b := make(byteTexts, len(texts))
	for i, t := range texts {
		b[i], *t = []byte(*t), ""
	}
	return b
}

// restore moves the texts back.
func (b byteTexts) restore(texts []*string) error {
	if len(b) != len(texts) {
		return Class.New("message with %d texts instead of %d", len(b), len(texts))
	}
	for i, t := range texts {
		*t = string(b[i])
	}
	return nil
}

func statementTexts(s *statement.Statement) []*string { return []*string{&s.ID, &s.Name, &s.Operands} }

// texts returns the texts of a job that come from callers, without Values. The copy of Prepared
// is its own.
func (w *wireJob) texts() []*string {
	texts := append(statementTexts(&w.Statement), &w.Caller, &w.Workspace)
	if w.Prepared != nil {
		p := *w.Prepared
		w.Prepared = &p
		texts = append(texts, &p.UpstreamName, &p.Shape)
	}
	return texts
}

// takeTexts moves the texts of a job that are not UTF-8 to Bytes and ValueBytes.
func (w *wireJob) takeTexts() {
	w.Bytes = takeTexts(w.texts())
	names := slices.Sorted(maps.Keys(w.Values))
	var values []*string
	for _, name := range names {
		value := w.Values[name]
		values = append(values, &name, &value)
	}
	if w.ValueBytes = takeTexts(values); w.ValueBytes != nil {
		w.Values = nil // the map is that of the session
	}
}

// method returns the name under which a method is called with a job.
func (w *wireJob) method(name string) string {
	if w.Bytes != nil || w.ValueBytes != nil {
		return name + bytesSuffix
	}
	return name
}

// restoreTexts moves the texts of a job back.
func (w *wireJob) restoreTexts() error {
	if w.Bytes != nil {
		if err := w.Bytes.restore(w.texts()); err != nil {
			return err
		}
	}
	if len(w.ValueBytes)%2 != 0 {
		return Class.New("message with %d names and values", len(w.ValueBytes))
	}
	if w.ValueBytes != nil {
		w.Values = make(map[string]string, len(w.ValueBytes)/2)
	}
	for pair := range slices.Chunk(w.ValueBytes, 2) {
		w.Values[string(pair[0])] = string(pair[1])
	}
	return nil
}

func (r *wireResult) texts() []*string {
	texts := []*string{&r.Signature}
	for i := range r.Rows {
		texts = append(texts, &r.Rows[i])
	}
	return texts
}

// takeTexts moves the texts of a result that are not UTF-8 to Bytes. For an instance of an
// earlier release, which does not know Bytes, the outcome is unknown then.
func (r *wireResult) takeTexts() {
	if allUTF8(r.texts()) {
		return
	}
	r.Rows = slices.Clone(r.Rows)
	r.Bytes, r.Rows = takeTexts(r.texts()), nil
	if r.Err == nil {
		r.Err = &wireError{Conn: &wireConnError{Sent: true, Text: textsNotUTF8}}
	}
}

// textsNotUTF8 is the error that replaces the missing one of a result with Bytes.
const textsNotUTF8 = "texts of the answer are not UTF-8"

// restoreTexts moves the texts of a result back.
func (r *wireResult) restoreTexts() error {
	if r.Bytes == nil {
		return nil
	}
	r.Rows = make([]string, max(len(r.Bytes)-1, 0))
	if r.Err != nil && r.Err.Conn != nil && r.Err.Conn.Text == textsNotUTF8 {
		r.Err = nil
	}
	return r.Bytes.restore(r.texts())
}
