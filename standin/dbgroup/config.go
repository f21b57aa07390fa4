package dbgroup

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"slices"
	"time"

	"github.com/papayarail/papayarail/standin/dbgroup/replication"
	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("dbgroup")

// Defaults of a member's configuration.
const (
	DefaultMaxConnections     = 15
	DefaultConnectDelayMS     = 10
	DefaultStatementDelayUS   = 1000
	DefaultSlots              = 2
	DefaultReplicationDelayMS = 2
)

// Config configures one member. DefaultConfig returns the defaults.
type Config struct {
	Name           string       `json:"name"`
	Service        string       `json:"service"` // database name that clients must connect to
	Address        string       `json:"address"` // host:port of the PostgreSQL listener
	FailureDomain  string       `json:"failure_domain"`
	Members        []PeerConfig `json:"members"` // all members of the group, itself included
	InitialPrimary string       `json:"initial_primary"`

	MaxConnections     int   `json:"max_connections"`      // client sessions
	ConnectDelayMS     int64 `json:"connect_delay_ms"`     // between startup message and AuthenticationOk
	StatementDelayUS   int64 `json:"statement_delay_us"`   // service time of a statement, spent in a slot
	Slots              int   `json:"slots"`                // statements that execute concurrently
	ReplicationDelayMS int64 `json:"replication_delay_ms"` // between receiving and applying a log entry

	// FaultAddress is the host:port of the HTTP fault interface; empty disables it.
	FaultAddress string `json:"fault_address"`
	// Rejoin starts the member with an empty log. It grants no term until it has
	// caught up with a primary through group_follow. A restarted member must set
	// it, because its log was kept in memory only.
	Rejoin bool `json:"rejoin"`

	// Listener replaces the listener on Address if it is set.
	Listener net.Listener `json:"-"`
}

// PeerConfig names a member of the group.
type PeerConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// DefaultConfig returns a configuration with the default limits and delays.
func DefaultConfig() Config {
	return Config{
		MaxConnections:     DefaultMaxConnections,
		ConnectDelayMS:     DefaultConnectDelayMS,
		StatementDelayUS:   DefaultStatementDelayUS,
		Slots:              DefaultSlots,
		ReplicationDelayMS: DefaultReplicationDelayMS,
	}
}

// LoadConfig reads a JSON configuration file over the defaults. Unknown keys and
// invalid settings are errors.
func LoadConfig(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, Class.Wrap(err)
	}
	c := DefaultConfig()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return Config{}, Class.New("%s: %v", path, err)
	}
	return c, c.Validate()
}

// GroupConfigs returns the configurations of a group with one member per address.
// Member i is named service-failureDomains[i], and the first member is the
// initial primary.
func GroupConfigs(service string, failureDomains, addresses []string) []Config {
	peers := make([]PeerConfig, len(addresses))
	for i, address := range addresses {
		peers[i] = PeerConfig{Name: service + "-" + failureDomains[i], Address: address}
	}
	configs := make([]Config, len(addresses))
	for i, p := range peers {
		c := DefaultConfig()
		c.Name, c.Service, c.Address = p.Name, service, p.Address
		c.FailureDomain = failureDomains[i]
		c.Members = peers
		c.InitialPrimary = peers[0].Name
		configs[i] = c
	}
	return configs
}

// Validate returns an error that names the first invalid setting.
func (c Config) Validate() error {
	known := func(name string) bool {
		return slices.ContainsFunc(c.Members, func(p PeerConfig) bool { return p.Name == name })
	}
	switch {
	case c.Name == "":
		return Class.New("name is missing")
	case c.Service == "":
		return Class.New("service is missing")
	case c.Address == "" && c.Listener == nil:
		return Class.New("address is missing")
	case !known(c.Name):
		return Class.New("members does not contain %q", c.Name)
	case !c.Rejoin && !known(c.InitialPrimary):
		return Class.New("initial_primary %q is not in members", c.InitialPrimary)
	case c.MaxConnections < 1:
		return Class.New("max_connections must be at least 1")
	case c.Slots < 1:
		return Class.New("slots must be at least 1")
	case c.ConnectDelayMS < 0 || c.StatementDelayUS < 0 || c.ReplicationDelayMS < 0:
		return Class.New("connect_delay_ms, statement_delay_us and replication_delay_ms must not be negative")
	}
	return nil
}

func (c Config) peers() []replication.Peer {
	out := make([]replication.Peer, len(c.Members))
	for i, p := range c.Members {
		out[i] = replication.Peer{Name: p.Name, Address: p.Address}
	}
	return out
}

func (c Config) connectDelay() time.Duration {
	return time.Duration(c.ConnectDelayMS) * time.Millisecond
}
