package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
)

// exec executes a statement at a member and returns the reply.
func exec(t *testing.T, c *Cluster, member string, s statement.Statement) statement.Reply {
	t.Helper()
	conn, err := c.Dialer("i").Dial(statement.Target{ID: member, Address: member}, time.Second)
	assert.NilError(t, err)
	defer conn.Close()
	reply, err := conn.Exec(s, time.Second)
	assert.NilError(t, err)
	return reply
}

// promote promotes a member and waits until it leads.
func promote(t *testing.T, c *Cluster, member string) {
	t.Helper()
	assert.NilError(t, c.Promoter("i").Promote(group.Promotion{Service: Service, Member: member}, func() bool { return true }, time.Second))
	time.Sleep(promoteTime + time.Millisecond)
	assert.Equal(t, c.Primary(), member)
}

// divide promotes c, which lacks a commit that a and b have and that was acknowledged.
func divide(t *testing.T, c *Cluster) {
	t.Helper()
	c.ModelBranches()
	c.Partition("a", "c")
	c.Partition("b", "c")
	assert.NilError(t, exec(t, c, "a", statement.Statement{ID: "w", Kind: statement.Write}).Err)
	c.Acknowledge("w")
	time.Sleep(time.Millisecond)
	promote(t, c, "c")
	assert.Equal(t, len(c.Violations()), 1)
}

// Guards against reads that miss a commit unnoticed because a promotion had rolled it back before a later one had it again.
func TestCommitThatIsPromotedAgainCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster("a", "b", "c")
		divide(t, c)
		read := exec(t, c, "c", statement.Statement{ID: "r", Kind: statement.Read})
		assert.Equal(t, c.CheckRead(Read{Row: read.Rows[0], Since: c.Clock()}), "", "the commit is rolled back")
		promote(t, c, "b")
		read = exec(t, c, "c", statement.Statement{ID: "r", Kind: statement.Read})
		assert.Equal(t, c.CheckRead(Read{Row: read.Rows[0], Since: c.Clock()}), "w")
		c.Close()
	})
}

// Guards against uncounted reads on another branch than the one of their position.
func TestReadsOfOtherBranchesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster("a", "b", "c")
		divide(t, c)
		read := statement.Statement{ID: "r", Kind: statement.Read}
		read.After = exec(t, c, "b", read).Position
		assert.NilError(t, exec(t, c, "b", read).Err)
		assert.Equal(t, c.OtherBranchReads(), OtherBranchReads{})
		assert.NilError(t, exec(t, c, "c", read).Err)
		assert.Equal(t, c.OtherBranchReads(), OtherBranchReads{LeftOut: 1})
		promote(t, c, "b")
		assert.NilError(t, exec(t, c, "c", read).Err)
		assert.Equal(t, c.OtherBranchReads(), OtherBranchReads{LeftOut: 1, Kept: 1})
		c.Close()
	})
}
