// Package testplatform starts a simulated platform, with its table and its object
// store, inside a test.
package testplatform

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store/awsstore"
)

// Start starts a simulated platform, which ends with the test, and returns it with
// adapters for it.
func Start(t *testing.T, c platformd.Config) (*platformd.Server, *awsstore.Store) {
	server, err := platformd.New(c)
	assert.NilError(t, err)
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve() }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.NilError(t, <-serveResult)
	})
	return server, Connect(t, server)
}

// Connect returns adapters that have no open connection yet.
func Connect(t *testing.T, server *platformd.Server) *awsstore.Store {
	adapters, err := awsstore.New(awsstore.Settings{TableURL: server.URL(), ObjectURL: server.URL(), Table: "papayarail", Bucket: "papayarail"})
	assert.NilError(t, err)
	return adapters
}
