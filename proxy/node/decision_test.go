//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Guards against strict reads and commits without a lease that leave no trace: why their
// member was taken, also when the gateway has asked the members.
func TestDecisionsWithoutLeaseAreLogged(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *cluster{"direct": simulated("i1"), "through a gateway": newLargeCluster} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := start(t)
				hook := new(logtest.Hook)
				c.hook = hook
				c.start("late", c.sim.Store("late"))
				time.Sleep(7 * time.Second)
				s := c.open("late", simulator.Database)
				decisions := func(request string) (found int) {
					for _, e := range hook.AllEntries() {
						if e.Data["request"] != request || e.Data["event"] != "read_decision" {
							continue
						}
						found++
						assert.Equal(t, e.Data["basis"], "round")
						assert.Equal(t, e.Data["cause"], "round")
						assert.Equal(t, e.Data["member"], "a")
						assert.Equal(t, e.Data["service"], simulator.Service)
						assert.Assert(t, len(e.Data["answered"].([]string)) >= 2, "%v", e.Data)
						assert.Equal(t, e.Data["listed"], 3)
						assert.Equal(t, e.Data["gateway"] != "", name != "direct")
					}
					return found
				}
				assert.NilError(t, c.write(s))
				assert.NilError(t, s.send(statement.Statement{ID: "calm", Kind: statement.Read, Operands: "x"}).Err)
				assert.Equal(t, decisions("calm"), 0)
				c.cutStore()
				time.Sleep(2 * time.Second)
				assert.NilError(t, s.send(statement.Statement{ID: "without-store", Kind: statement.Read, Operands: "x"}).Err)
				assert.Equal(t, decisions("without-store"), 1)
				var out bytes.Buffer
				c.metrics["late"].Write(&out)
				for _, series := range []string{`papayarail_strict_reads_total{basis="lease"} 1`, `papayarail_strict_reads_total{basis="round"} 1`} {
					assert.Assert(t, strings.Contains(out.String(), series+"\n"), out.String())
				}
				assert.Assert(t, !strings.Contains(out.String(), "papayarail_answers_of_other_term_total"))
				s.leave()
				c.closeSimulated()
			})
		})
	}
}
