package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

// Guards against a new primary that is published while the former one and a replica of it can
// still confirm each other.
func TestAbandonedPrimary(t *testing.T) {
	status := func(primary bool, term uint64) *takeover.Status {
		return &takeover.Status{Primary: primary, Term: term}
	}
	old := primacy.Primary{Member: "a", Term: 3}
	a := func(s *takeover.Status) takeover.Member { return takeover.Member{ID: "a", Status: s} }
	b := takeover.Member{ID: "b", Status: status(true, 4)}
	c := func(s *takeover.Status) takeover.Member { return takeover.Member{ID: "c", Status: s} }
	for _, test := range []struct {
		name    string
		members []takeover.Member
		want    bool
	}{
		{"all replicas have left its term", []takeover.Member{a(nil), b, c(status(false, 4))}, true},
		{"one follows it", []takeover.Member{a(nil), b, c(status(false, 3))}, false},
		{"one does not answer", []takeover.Member{a(nil), b, c(nil)}, false},
		{"one does not run", []takeover.Member{a(nil), b, {ID: "c", Gone: true}}, true},
		{"one is not registered and does not answer", []takeover.Member{a(nil), b, c(status(false, 4)), {ID: "d", Deregistered: true}}, false},
		{"it serves, and one follows it", []takeover.Member{a(status(true, 3)), b, c(status(false, 3))}, false},
		{"it has stepped down", []takeover.Member{a(status(false, 3)), b, c(nil)}, true},
		{"it leads again", []takeover.Member{a(status(true, 5)), b, c(nil)}, true},
		{"it does not run", []takeover.Member{{ID: "a", Gone: true}, b, c(nil)}, true},
		{"it is not known", []takeover.Member{b, c(status(false, 4))}, true},
	} {
		assert.Equal(t, takeover.Abandoned(old, test.members), test.want, test.name)
	}
}
