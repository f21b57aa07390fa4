package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/instance/settings"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/store"
	"github.com/papayarail/papayarail/store/registry"
)

// countedTable counts the reads of the instance list, which is empty.
type countedTable struct {
	store.Table
	reads atomic.Int32
}

func (t *countedTable) Query(context.Context, string, store.Consistency) ([]store.Item, error) {
	t.reads.Add(1)
	return nil, nil
}

// quiet returns an instance that has not been started.
func quiet(t *testing.T, name string, table store.Table) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(&settings.Settings{Name: name, FailureDomain: "messina", PeerAddress: "127.0.0.1:1",
		Platform: settings.Platform{TableURL: "http://127.0.0.1:1", ObjectURL: "http://127.0.0.1:1", Table: "papayarail", Bucket: "papayarail"}}, log)
	assert.NilError(t, err)
	n.workCtx = t.Context()
	n.register = registry.New(table, name)
	return n
}

// listReads returns how often count instances of one failure domain, which know
// the given number of each other, read the instance list in 100 s.
func listReads(t *testing.T, count, known int) int32 {
	table := &countedTable{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
		defer cancel()
		for i := range count {
			n := quiet(t, fmt.Sprint("messina-", i), table)
			var peers []view.Peer
			for j := range known {
				if j != i {
					peers = append(peers, view.Peer{Name: fmt.Sprint("messina-", j), FailureDomain: "messina"})
				}
			}
			n.view.UpdatePeers(peers)
			n.config.peersChanged(peers)
			go n.members.readList(ctx)
		}
		<-ctx.Done()
		synctest.Wait()
	})
	return table.reads.Load()
}

// Guards against a number of reads of the instance list that grows with the
// number of instances: each one returns all of them.
func TestFewInstancesReadTheList(t *testing.T) {
	reads := listReads(t, 60, 60)
	assert.Assert(t, reads >= 3*100/6 && reads <= 3*(100/4+1), "%d reads", reads)
}

// Guards against an instance without live peers that learns no address.
func TestLoneInstanceReadsTheList(t *testing.T) {
	assert.Assert(t, listReads(t, 1, 0) >= 100/6)
}

// Guards against an instance that is listed as leaving and does not hear of it,
// because others read the list.
func TestAdviceOfAPeerStartsThePlannedStop(t *testing.T) {
	n := quiet(t, "messina-0", &countedTable{})
	assert.NilError(t, handler{node: n}.AdviseLeaving(t.Context(), nil))
	<-n.drain
}
