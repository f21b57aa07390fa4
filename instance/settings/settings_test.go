package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

const valid = `{"name": "catania-1", "failure_domain": "catania",
 "caller_address": "127.0.0.1:6432", "peer_address": "127.0.0.1:7432", "operator_address": "127.0.0.1:8432",
 "platform": {"table_url": "http://127.0.0.1:9000", "object_url": "http://127.0.0.1:9000", "table": "papayarail", "bucket": "papayarail"},
 "seed_peers": ["127.0.0.1:7433"], "allowed_networks": ["127.0.0.0/8"], "log_level": "info"}`

// Guards against valid settings that are refused.
func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.FailureDomain, "catania")
}

// Guards against faulty settings that are accepted, and against an error that does not
// name the pointer or the line of the fault.
func TestFindingsNameTheirPointer(t *testing.T) {
	for _, c := range []struct{ data, want string }{
		{"{\n\"nam\": \"x\"}", "/nam: line 2: unknown key"},
		{`{"name": 7}`, "/name: line 1: want string, got number"},
		{"{\n\"name\": \"x\",,}", "line 2"},
		{`{"name": "x"}`, "/platform/bucket: is missing"},
		{`{"caller_address": "localhost:1"}`, `/caller_address: "localhost:1" is not of the form IP:port`},
		{`{"allowed_networks": ["10.0.0.0/8", "ten"]}`, "/allowed_networks/1"},
	} {
		_, err := Parse([]byte(c.data))
		assert.ErrorContains(t, err, c.want)
	}
}
