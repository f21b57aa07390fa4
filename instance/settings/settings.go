// Package settings reads and checks the settings file of one instance.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("settings")

// Platform says where the platform's table and object services are.
type Platform struct {
	TableURL  string `json:"table_url"`
	ObjectURL string `json:"object_url"`
	Table     string `json:"table"`
	Bucket    string `json:"bucket"`
}

// Settings are the settings of one instance. Addresses are IP:port.
type Settings struct {
	Name            string `json:"name"`
	FailureDomain   string `json:"failure_domain"`
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// AdvertisedPeerAddress is the address that peers connect to, if it differs
	// from PeerAddress, as behind a port forwarding.
	AdvertisedPeerAddress string `json:"advertised_peer_address"`
	// SourceAddress is the IP that outgoing connections are bound to; empty
	// leaves the choice to the system.
	SourceAddress string   `json:"source_address"`
	Platform      Platform `json:"platform"`
	SeedPeers     []string `json:"seed_peers"`
	// AllowedNetworks limits who may connect to the peer and operator addresses
	// (CIDR); empty permits loopback only.
	AllowedNetworks []string `json:"allowed_networks"`
	// CallerNetworks limits who may connect to the caller address; empty permits all.
	CallerNetworks []string `json:"caller_networks"`
	MaxCallers     int      `json:"max_callers"`
	LogLevel       string   `json:"log_level"`
}

// Finding is one fault in the settings with its place as a JSON pointer.
type Finding struct {
	Pointer string
	Message string
}

func (f Finding) String() string { return f.Pointer + ": " + f.Message }

// Load reads and checks the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, Class.New("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. The error lists every finding.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, located(data, err)
	}
	var list []error
	for _, f := range s.Validate() {
		list = append(list, errors.New(f.String()))
	}
	return s, errors.Join(list...)
}

// located adds line and column to a decoding error where they are known.
func located(data []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		return fmt.Errorf("/%s: line %d: want %s, got %s", kind.Field, line(data, kind.Offset), kind.Type, kind.Value)
	}
	if name, found := unknownKey(err); found {
		at := bytes.Index(data, []byte(strconv.Quote(name)))
		return fmt.Errorf("/%s: line %d: unknown key", name, line(data, int64(at)))
	}
	if offset < 0 {
		return err
	}
	return fmt.Errorf("line %d: %w", line(data, offset), err)
}

// unknownKey returns the key that encoding/json does not know. The package has
// no typed error for it.
func unknownKey(err error) (string, bool) {
	quoted, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return "", false
	}
	name, err := strconv.Unquote(quoted)
	return name, err == nil
}

func line(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// Validate returns all findings.
func (s *Settings) Validate() []Finding {
	c := &checker{}
	c.required("/name", s.Name)
	c.required("/failure_domain", s.FailureDomain)
	c.address("/caller_address", s.CallerAddress)
	c.address("/peer_address", s.PeerAddress)
	c.address("/operator_address", s.OperatorAddress)
	c.required("/platform/table_url", s.Platform.TableURL)
	c.required("/platform/object_url", s.Platform.ObjectURL)
	c.required("/platform/table", s.Platform.Table)
	c.required("/platform/bucket", s.Platform.Bucket)
	for i, a := range s.SeedPeers {
		c.address(fmt.Sprintf("/seed_peers/%d", i), a)
	}
	if s.AdvertisedPeerAddress != "" {
		c.address("/advertised_peer_address", s.AdvertisedPeerAddress)
	}
	if s.SourceAddress != "" {
		if _, err := netip.ParseAddr(s.SourceAddress); err != nil {
			c.add("/source_address", "%q is not an IP address", s.SourceAddress)
		}
	}
	c.networks("/allowed_networks", s.AllowedNetworks)
	c.networks("/caller_networks", s.CallerNetworks)
	if s.MaxCallers < 0 {
		c.add("/max_callers", "must not be negative")
	}
	if s.LogLevel != "" {
		if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
			c.add("/log_level", "%q is not a log level", s.LogLevel)
		}
	}
	return c.findings
}

type checker struct{ findings []Finding }

func (c *checker) add(place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Pointer: place, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) required(place, value string) {
	if value == "" {
		c.add(place, "is missing")
	}
}

func (c *checker) address(place, value string) {
	if value == "" {
		c.add(place, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(place, "%q is not of the form IP:port", value)
	}
}

func (c *checker) networks(place string, list []string) {
	for i, n := range list {
		if _, err := netip.ParsePrefix(n); err != nil {
			c.add(fmt.Sprintf("%s/%d", place, i), "%q is not a network in CIDR form", n)
		}
	}
}

// Advertised returns the address that peers connect to.
func (s *Settings) Advertised() string { return cmp.Or(s.AdvertisedPeerAddress, s.PeerAddress) }

// Source returns the IP of outgoing connections; not valid if none is set.
func (s *Settings) Source() netip.Addr {
	ip, err := netip.ParseAddr(s.SourceAddress)
	if err != nil {
		return netip.Addr{}
	}
	return ip
}

// Networks parses a checked list of networks.
func Networks(list []string) []netip.Prefix {
	var out []netip.Prefix
	for _, n := range list {
		if p, err := netip.ParsePrefix(n); err == nil {
			out = append(out, p)
		}
	}
	return out
}
