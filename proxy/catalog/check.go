package catalog

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("catalog")

const (
	// MaxSlots is the largest number of slots of a member. Sums and products of quotas stay
	// far below the range of their types with it.
	MaxSlots = 1 << 16
	// MaxColdFor bounds the time for which a member may expect to be slow.
	MaxColdFor = 24 * time.Hour
	// maxStarted bounds the start of a member: the greatest integer up to which a number of
	// any JSON encoder is exact.
	maxStarted = 1 << 53
)

// Check returns an error if the registration does not name a member that can be used. A
// registration is data of another writer, and each reader checks it: one from the store as
// well as one that another instance has read.
func (m Member) Check() error {
	switch {
	case !ValidName(m.ID):
		return Class.New("%q is not the ID of a member", m.ID)
	case !ValidName(m.Service):
		return Class.New("%q is not the name of a service", m.Service)
	case !ValidName(m.FailureDomain):
		return Class.New("%q is not the name of a failure domain", m.FailureDomain)
	case m.Slots < 1 || m.Slots > MaxSlots:
		return Class.New("%d slots", m.Slots)
	case m.ColdFor < 0 || m.ColdFor > MaxColdFor:
		return Class.New("slow for %s", m.ColdFor)
	case m.Started < 0 || m.Started > maxStarted:
		return Class.New("started at %d", m.Started)
	}
	return checkAddress(m.Address)
}

// checkAddress returns an error for an address at which no member listens. The form of an
// address other than IP:port is left to the dialer.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		return Class.New("address is missing")
	case err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != ""):
		return Class.New("address %q names no host and port", address)
	}
	return nil
}
