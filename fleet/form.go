package fleet

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// SchemaJSON is the JSON schema of the document.
//
//go:embed schema.json
var SchemaJSON []byte

var (
	schema  = mustCompile(SchemaJSON)
	printer = message.NewPrinter(language.English)
)

// mustCompile compiles the embedded schema. A failure is a fault of the build,
// and every test of this package shows it.
func mustCompile(data []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("fleet.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("fleet.json")
}

// Finding is one fault of a document.
type Finding struct {
	Path    string `json:"place"` // JSON pointer; empty for the whole document
	Message string `json:"message"`
}

// String returns the place and the message on one line.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// checkForm returns the findings that the syntax and the schema yield.
func checkForm(data []byte) []Finding {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Finding{{Message: fmt.Sprintf("not a JSON document: %v", err)}}
	}
	findings := repeatedKeys(data)
	err = schema.Validate(value)
	if invalid, ok := err.(*jsonschema.ValidationError); ok {
		findings = append(findings, schemaFindings(invalid)...)
	}
	if len(findings) > 0 {
		return findings
	}
	if err := json.Unmarshal(data, &Document{}); err != nil {
		// The schema takes 15.0 for an integer, encoding/json does not.
		return []Finding{{Message: err.Error()}}
	}
	return nil
}

// schemaFindings flattens a validation error into its leaves. The place of a
// missing or unknown key is the place of the key itself.
func schemaFindings(e *jsonschema.ValidationError) []Finding {
	var out []Finding
	for _, cause := range e.Causes {
		out = append(out, schemaFindings(cause)...)
	}
	if len(e.Causes) > 0 {
		return out
	}
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, key := range k.Missing {
			out = append(out, Finding{pointer(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)...), "key is missing"})
		}
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			out = append(out, Finding{pointer(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)...), "unknown key"})
		}
	default:
		out = append(out, Finding{pointer(e.InstanceLocation...), k.LocalizedString(printer)})
	}
	return out
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// pointer joins the parts to a JSON pointer (RFC 6901).
func pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(pointerEscaper.Replace(p))
	}
	return b.String()
}

// at formats a JSON pointer from keys and indexes.
func at(parts ...any) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = fmt.Sprint(p)
	}
	return pointer(texts...)
}

// repeatedKeys finds keys that occur twice in one object. encoding/json keeps
// the last value without an error, which would drop part of a document.
func repeatedKeys(data []byte) []Finding {
	dec := json.NewDecoder(bytes.NewReader(data))
	var out []Finding
	if err := walkKeys(dec, nil, &out); err != nil && err != io.EOF {
		return append(out, Finding{Message: err.Error()})
	}
	return out
}

func walkKeys(dec *json.Decoder, path []string, out *[]Finding) error {
	tok, err := dec.Token()
	if err != nil {
		return err
	}
	delim, ok := tok.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; dec.More(); i++ {
		key := strconv.Itoa(i)
		if delim == '{' {
			name, err := dec.Token()
			if err != nil {
				return err
			}
			key = name.(string)
		}
		place := append(path[:len(path):len(path)], key)
		if seen[key] {
			*out = append(*out, Finding{pointer(place...), "key is repeated"})
		}
		seen[key] = true
		if err := walkKeys(dec, place, out); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
