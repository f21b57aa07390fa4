// Package position defines positions in the replicated log of a database group, and
// the session tokens by which callers carry a position from one instance to another.
package position

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Class is the class of the errors of this package.
var Class = errs.Class("position")

// Position is a position in the log of a database group. Positions are ordered by
// term, then by offset. A member whose last entry is at p has every acknowledged
// write at or before p, because a member stores an entry of a term only after the
// whole log with which that term began.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare returns -1 if p is before q, 0 if they are equal, and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// AtLeast reports whether p is equal to or after q.
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

// Parse parses the format "term.offset" and returns an error of Class for any other
// input.
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

// Token is the position that the session of a caller has seen in one service. A
// caller passes it from one instance to another in the parameter
// papayarail.position.
type Token struct {
	Service  string
	Position Position
}

// String returns "service@term.offset".
func (t Token) String() string { return fmt.Sprintf("%s@%s", t.Service, t.Position) }

// ParseToken parses the format "service@term.offset" and returns an error of Class
// for any other input.
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
