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

// countedTable is a table with an empty instance list that counts the reads of it.
type countedTable struct {
	store.Table
	reads atomic.Int32
}

func (t *countedTable) Query(context.Context, string, store.Consistency) ([]store.Item, error) {
	t.reads.Add(1)
	return nil, nil
}

// newUnstartedNode returns an instance that has not been started.
func newUnstartedNode(t *testing.T, name string, table store.Table) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(&settings.Settings{Name: name, FailureDomain: "messina", PeerAddress: "127.0.0.1:1",
		Platform: settings.Platform{TableURL: "http://127.0.0.1:1", ObjectURL: "http://127.0.0.1:1", Table: "papayarail", Bucket: "papayarail"}}, log)
	assert.NilError(t, err)
	n.workCtx = t.Context()
	n.registry = registry.New(table, name)
	return n
}

// listReads returns how often count instances of one failure domain together read
// the instance list in 100 s, if each one knows the first known of them as peers.
func listReads(t *testing.T, count, known int) int32 {
	table := &countedTable{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
		defer cancel()
		for i := range count {
			n := newUnstartedNode(t, fmt.Sprint("messina-", i), table)
			var peers []view.Peer
			for j := range known {
				if j != i {
					peers = append(peers, view.Peer{Name: fmt.Sprint("messina-", j), FailureDomain: "messina"})
				}
			}
			n.view.UpdatePeers(peers)
			n.config.peersChanged(peers)
			go n.members.pollInstanceList(ctx)
		}
		<-ctx.Done()
		synctest.Wait()
	})
	return table.reads.Load()
}

// Guards against a number of list reads that grows with the number of instances:
// each read returns all instances.
func TestFewInstancesReadTheList(t *testing.T) {
	reads := listReads(t, 60, 60)
	assert.Assert(t, reads >= 3*100/6 && reads <= 3*(100/4+1), "%d reads", reads)
}

// Guards against an instance without live peers that does not read the list, and so
// learns no address.
func TestLoneInstanceReadsTheList(t *testing.T) {
	assert.Assert(t, listReads(t, 1, 0) >= 100/6)
}

// Guards against an instance that is listed as leaving but does not stop, because
// only its peers read the list.
func TestAdviseLeavingStartsThePlannedStop(t *testing.T) {
	n := newUnstartedNode(t, "messina-0", &countedTable{})
	assert.NilError(t, handler{node: n}.AdviseLeaving(t.Context(), nil))
	<-n.drainRequested
}
