// Package position defines log positions of database groups and the tokens
// that callers carry between instances.
package position

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("position")

// Position is a place in the log of a database group. Positions order by term
// and then by offset. A member whose last entry is at p has every acknowledged
// write at or before p: an entry of a term exists on a member only after the
// whole log with which that term began.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare returns -1, 0 or 1.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// AtLeast reports whether p is at or past q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.AtLeast(q) {
		return p
	}
	return q
}

// String returns "term.offset".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Offset, 10)
}

// Parse reads "term.offset".
func Parse(s string) (Position, error) {
	term, offset, found := strings.Cut(s, ".")
	if !found {
		return Position{}, Class.New("%q is not of the form term.offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, Class.New("term in %q is not a number", s)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, Class.New("offset in %q is not a number", s)
	}
	return Position{Term: t, Offset: o}, nil
}

// Token is the position of a caller's session in one service. Callers carry it
// between instances in the parameter papayarail.position.
type Token struct {
	Service  string
	Position Position
}

// String returns "service@term.offset".
func (t Token) String() string { return fmt.Sprintf("%s@%s", t.Service, t.Position) }

// ParseToken reads "service@term.offset".
func ParseToken(s string) (Token, error) {
	service, pos, found := strings.Cut(s, "@")
	if !found || service == "" {
		return Token{}, Class.New("%q is not of the form service@term.offset", s)
	}
	p, err := Parse(pos)
	if err != nil {
		return Token{}, err
	}
	return Token{Service: service, Position: p}, nil
}
