package position

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a token that changes when it is formatted and parsed again, as on
// its way through a caller to another instance.
func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Token{
			Service:  rapid.StringMatching(`[a-z][a-z0-9-]{0,30}`).Draw(t, "service"),
			Position: Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")},
		}
		out, err := ParseToken(in.String())
		assert.NilError(t, err)
		assert.Equal(t, out, in)
	})
}

// Guards against ordering a greater offset of an older term after a newer term.
func TestTermGoesBeforeOffset(t *testing.T) {
	assert.Assert(t, Position{Term: 2, Offset: 1}.AtLeast(Position{Term: 1, Offset: 9}))
	assert.Assert(t, !Position{Term: 1, Offset: 9}.AtLeast(Position{Term: 2, Offset: 1}))
}

// Guards against a malformed token that crashes the parser, and against accepted
// tokens that do not survive a round trip.
func FuzzParseToken(f *testing.F) {
	f.Add("registro-lotti-1@7.1042")
	f.Add("@.")
	f.Fuzz(func(t *testing.T, s string) {
		token, err := ParseToken(s)
		if err != nil {
			return
		}
		again, err := ParseToken(token.String())
		assert.NilError(t, err)
		assert.Equal(t, again, token)
	})
}
