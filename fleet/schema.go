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
	documentSchema = mustCompile(SchemaJSON)
	printer        = message.NewPrinter(language.English)
)

// mustCompile compiles the embedded schema. It panics if the schema is invalid, which
// every test of this package would show.
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

// Finding is one error in a document, or one reason why a change to it is not allowed.
type Finding struct {
	Path    string `json:"place"` // JSON pointer (RFC 6901); empty for the whole document
	Message string `json:"message"`
}

// String returns the path and the message on one line.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// checkSchema returns the violations of the JSON syntax and of the schema.
func checkSchema(data []byte) []Finding {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Finding{{Message: fmt.Sprintf("not a JSON document: %v", err)}}
	}
	findings := duplicateKeys(data)
	err = documentSchema.Validate(value)
	if invalid, ok := err.(*jsonschema.ValidationError); ok {
		findings = append(findings, schemaFindings(invalid)...)
	}
	if len(findings) > 0 {
		return findings
	}
	if err := json.Unmarshal(data, &Document{}); err != nil {
		// The schema accepts 15.0 as an integer, encoding/json does not.
		return []Finding{{Message: err.Error()}}
	}
	return nil
}

// schemaFindings converts the leaves of a validation error to findings. The path of a
// missing or unknown key includes the key.
func schemaFindings(e *jsonschema.ValidationError) []Finding {
	var findings []Finding
	for _, cause := range e.Causes {
		findings = append(findings, schemaFindings(cause)...)
	}
	if len(e.Causes) > 0 {
		return findings
	}
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, key := range k.Missing {
			findings = append(findings, Finding{jsonPointer(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)...), "key is missing"})
		}
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			findings = append(findings, Finding{jsonPointer(append(e.InstanceLocation[:len(e.InstanceLocation):len(e.InstanceLocation)], key)...), "unknown key"})
		}
	default:
		findings = append(findings, Finding{jsonPointer(e.InstanceLocation...), k.LocalizedString(printer)})
	}
	return findings
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// jsonPointer joins reference tokens to a JSON pointer (RFC 6901).
func jsonPointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(pointerEscaper.Replace(p))
	}
	return b.String()
}

// pointerTo returns the JSON pointer for keys and indexes.
func pointerTo(parts ...any) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = fmt.Sprint(p)
	}
	return jsonPointer(texts...)
}

// duplicateKeys reports keys that occur more than once in one object. encoding/json
// would keep only the last value, without an error.
func duplicateKeys(data []byte) []Finding {
	dec := json.NewDecoder(bytes.NewReader(data))
	var findings []Finding
	if err := findDuplicateKeys(dec, nil, &findings); err != nil && err != io.EOF {
		return append(findings, Finding{Message: err.Error()})
	}
	return findings
}

// findDuplicateKeys reads one JSON value at the path and reports the duplicate keys in
// it.
func findDuplicateKeys(dec *json.Decoder, path []string, findings *[]Finding) error {
	token, err := dec.Token()
	if err != nil {
		return err
	}
	delim, ok := token.(json.Delim)
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
		keyPath := append(path[:len(path):len(path)], key)
		if seen[key] {
			*findings = append(*findings, Finding{jsonPointer(keyPath...), "key is repeated"})
		}
		seen[key] = true
		if err := findDuplicateKeys(dec, keyPath, findings); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
