package engine

import (
	"cmp"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
)

// Type OIDs of PostgreSQL that the engine supports.
const (
	OIDBool    uint32 = 16
	OIDInt8    uint32 = 20
	OIDInt2    uint32 = 21
	OIDInt4    uint32 = 23
	OIDText    uint32 = 25
	OIDFloat8  uint32 = 701
	OIDUnknown uint32 = 705
	OIDVarchar uint32 = 1043
	OIDVoid    uint32 = 2278
)

// Kind is the storage class of a value.
type Kind uint8

// The kinds of values. The zero Value is null.
const (
	Null Kind = iota
	Int
	Text
	Bool
	Float
)

// Value is one SQL value. A boolean is stored as 0 or 1 in Int. A struct is
// used in place of an interface because encoding/gob rejects nil interface
// elements.
type Value struct {
	Kind  Kind
	Int   int64
	Float float64
	Text  string
}

// Row is one row. Rows are never modified after they have been stored.
type Row []Value

// IntValue returns v as an integer value.
func IntValue[T ~int | ~int64 | ~uint64 | ~uint32](v T) Value {
	return Value{Kind: Int, Int: int64(v)}
}

// TextValue returns s as a text value.
func TextValue(s string) Value { return Value{Kind: Text, Text: s} }

// BoolValue returns b as a boolean value.
func BoolValue(b bool) Value {
	if b {
		return Value{Kind: Bool, Int: 1}
	}
	return Value{Kind: Bool}
}

// IsTrue reports whether v is the boolean true.
func (v Value) IsTrue() bool { return v.Kind == Bool && v.Int == 1 }

// String returns the text format of v; null is the empty string.
func (v Value) String() string {
	switch v.Kind {
	case Int:
		return strconv.FormatInt(v.Int, 10)
	case Text:
		return v.Text
	case Bool:
		if v.Int == 1 {
			return "t"
		}
		return "f"
	case Float:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	}
	return ""
}

func compare(a, b Value) int {
	switch {
	case a.Kind == Text && b.Kind == Text:
		return strings.Compare(a.Text, b.Text)
	case a.Kind == Float || b.Kind == Float:
		return cmp.Compare(a.number(), b.number())
	}
	return cmp.Compare(a.Int, b.Int)
}

func (v Value) number() float64 {
	if v.Kind == Float {
		return v.Float
	}
	return float64(v.Int)
}

// Encode returns v as a field of type oid in the given format (0 text, 1
// binary). Null and void are nil and empty.
func Encode(v Value, oid uint32, format int16) []byte {
	if v.Kind == Null {
		return nil
	}
	if oid == OIDVoid {
		return []byte{}
	}
	if format == 0 {
		return []byte(v.String())
	}
	switch oid {
	case OIDInt2:
		return binary.BigEndian.AppendUint16(nil, uint16(v.Int))
	case OIDInt4:
		return binary.BigEndian.AppendUint32(nil, uint32(v.Int))
	case OIDInt8:
		return binary.BigEndian.AppendUint64(nil, uint64(v.Int))
	case OIDBool:
		return []byte{byte(v.Int)}
	case OIDFloat8:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(v.number()))
	}
	return []byte(v.Text)
}

// Decode reads a parameter of type oid in the given format. A nil slice is
// null. Errors are 22P02 (text) or 22P03 (binary).
func Decode(b []byte, oid uint32, format int16) (Value, error) {
	if b == nil {
		return Value{}, nil
	}
	if format == 0 {
		return parseText(string(b), oid)
	}
	if want := binarySize(oid); want > 0 && len(b) != want {
		return Value{}, Errorf(InvalidBinaryRepresentation, "incorrect binary data format for type with OID %d", oid)
	}
	switch oid {
	case OIDInt2:
		return IntValue(int64(int16(binary.BigEndian.Uint16(b)))), nil
	case OIDInt4:
		return IntValue(int64(int32(binary.BigEndian.Uint32(b)))), nil
	case OIDInt8:
		return IntValue(int64(binary.BigEndian.Uint64(b))), nil
	case OIDBool:
		return BoolValue(b[0] != 0), nil
	case OIDFloat8:
		return Value{Kind: Float, Float: math.Float64frombits(binary.BigEndian.Uint64(b))}, nil
	}
	return TextValue(string(b)), nil
}

func binarySize(oid uint32) int {
	switch oid {
	case OIDBool:
		return 1
	case OIDInt2:
		return 2
	case OIDInt4:
		return 4
	case OIDInt8, OIDFloat8:
		return 8
	}
	return 0
}

func parseText(s string, oid uint32) (Value, error) {
	t := strings.TrimSpace(s)
	switch oid {
	case OIDInt2, OIDInt4, OIDInt8:
		n, err := strconv.ParseInt(t, 10, binarySize(oid)*8)
		if err != nil {
			return Value{}, Errorf(InvalidTextRepresentation, "invalid input syntax for type %s: %q", typeName(oid), s)
		}
		return IntValue(n), nil
	case OIDFloat8:
		f, err := strconv.ParseFloat(t, 64)
		if err != nil {
			return Value{}, Errorf(InvalidTextRepresentation, "invalid input syntax for type %s: %q", typeName(oid), s)
		}
		return Value{Kind: Float, Float: f}, nil
	case OIDBool:
		switch strings.ToLower(t) {
		case "t", "true", "1", "on", "yes", "y":
			return BoolValue(true), nil
		case "f", "false", "0", "off", "no", "n":
			return BoolValue(false), nil
		}
		return Value{}, Errorf(InvalidTextRepresentation, "invalid input syntax for type boolean: %q", s)
	}
	return TextValue(s), nil
}

// cast converts v to type oid.
func cast(v Value, oid uint32) (Value, error) {
	switch oid {
	case OIDInt2, OIDInt4, OIDInt8:
		if v.Kind == Float {
			v = IntValue(int64(math.RoundToEven(v.Float)))
		}
		if v.Kind == Int {
			return v, checkRange(v.Int, oid)
		}
	case OIDFloat8:
		if v.Kind == Int {
			return Value{Kind: Float, Float: float64(v.Int)}, nil
		}
	case OIDText:
		if v.Kind == Bool {
			return TextValue(strconv.FormatBool(v.IsTrue())), nil
		}
		if v.Kind != Null {
			return TextValue(v.String()), nil
		}
	case OIDBool:
		if v.Kind == Int {
			return BoolValue(v.Int != 0), nil
		}
	}
	if v.Kind == Text {
		return parseText(v.Text, oid)
	}
	return v, nil
}

func checkRange(n int64, oid uint32) error {
	bits := binarySize(oid) * 8
	if n != n<<(64-bits)>>(64-bits) {
		return Errorf(NumericValueOutOfRange, "%s out of range", typeName(oid))
	}
	return nil
}

func typeName(oid uint32) string {
	switch oid {
	case OIDBool:
		return "boolean"
	case OIDInt2:
		return "smallint"
	case OIDInt4:
		return "integer"
	case OIDInt8:
		return "bigint"
	case OIDFloat8:
		return "double precision"
	}
	return "text"
}

// SupportedType maps a parameter type OID announced by a client to the type
// the engine uses for it. 0 means that the type is left to inference.
func SupportedType(oid uint32) (uint32, error) {
	switch oid {
	case 0, OIDUnknown:
		return 0, nil
	case OIDBool, OIDInt2, OIDInt4, OIDInt8, OIDText, OIDFloat8:
		return oid, nil
	case OIDVarchar:
		return OIDText, nil
	}
	return 0, Errorf(FeatureNotSupported, "type with OID %d is not supported", oid)
}

func isInteger(oid uint32) bool { return oid == OIDInt2 || oid == OIDInt4 || oid == OIDInt8 }

func isNumeric(oid uint32) bool { return isInteger(oid) || oid == OIDFloat8 }

// comparableTypes reports whether values of both types can be compared.
func comparableTypes(a, b uint32) bool {
	return a == b || isNumeric(a) && isNumeric(b)
}
