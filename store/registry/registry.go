// Package registry keeps one record for each service, in which a coordinator claims a
// term before it starts a failover, and reads the platform's list of instances. Both
// are in the platform's table.
package registry

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/store"
)

// Error is the class of errors of this package.
var Error = errs.Class("register")

const (
	failoverPrefix = "failover/"
	instancePrefix = "instance/"

	attrTerm    = "term"
	attrAttempt = "attempt"
	attrHolder  = "holder"
)

// Result is the result of reserving a term.
type Result uint8

const (
	// Unavailable means that the platform did not answer the reservation, which may
	// have taken effect.
	Unavailable Result = iota
	// Won means that this attempt holds the term.
	Won
	// Lost means that another attempt holds the term or a later one.
	Lost
)

// String returns the name of the result.
func (r Result) String() string {
	switch r {
	case Won:
		return "won"
	case Lost:
		return "lost"
	default:
		return "unavailable"
	}
}

// Registry reads and writes the records and the list in a table. It is safe for
// concurrent use.
type Registry struct {
	table  store.Table
	holder string
}

// New returns a registry on the table. holder is the name of this instance.
func New(t store.Table, holder string) *Registry { return &Registry{table: t, holder: holder} }

// record is the stored reservation of a service.
type record struct {
	exists  bool
	term    uint64
	attempt string
}

// compare returns the result that the record implies for a reservation, or
// Unavailable if the record leaves it open.
func (r record) compare(term uint64, attempt string) Result {
	switch {
	case r.exists && r.term == term && r.attempt == attempt:
		return Won
	case r.exists && r.term >= term:
		return Lost
	default:
		return Unavailable
	}
}

// Reserve claims a term of the service for a failover attempt with a conditional put.
// The attempt id must be unique to the attempt. If the response to the put is lost,
// Reserve reads the record back once. The error is not nil exactly if the result is
// Unavailable. The reservation only keeps coordinators from competing; a failover is
// safe without it, because the members accept at most one primary in each term.
func (r *Registry) Reserve(ctx context.Context, service string, term uint64, attempt string) (Result, error) {
	before, err := r.read(ctx, service)
	if err != nil {
		return Unavailable, err
	}
	if result := before.compare(term, attempt); result != Unavailable {
		return result, nil
	}
	condition := store.IfAbsent()
	if before.exists {
		condition = store.IfEquals(attrTerm, formatTerm(before.term))
	}
	err = r.table.Put(ctx, store.Item{Key: failoverPrefix + service, Attributes: map[string]string{
		attrTerm: formatTerm(term), attrAttempt: attempt, attrHolder: r.holder}}, condition)
	switch {
	case err == nil:
		return Won, nil
	case errors.Is(err, store.ErrConditionFailed):
		return Lost, nil
	case !store.MayHaveTakenEffect(err):
		return Unavailable, Error.Wrap(err)
	}
	after, readErr := r.read(ctx, service)
	if readErr != nil {
		return Unavailable, Error.Wrap(errors.Join(err, readErr))
	}
	result := after.compare(term, attempt)
	if result == Unavailable {
		return Unavailable, Error.Wrap(err)
	}
	return result, nil
}

func (r *Registry) read(ctx context.Context, service string) (record, error) {
	item, err := r.table.Get(ctx, failoverPrefix+service, store.Consistent)
	if errors.Is(err, store.ErrNotFound) {
		return record{}, nil
	}
	if err != nil {
		return record{}, Error.Wrap(err)
	}
	term, err := strconv.ParseUint(item.Attributes[attrTerm], 10, 64)
	if err != nil {
		return record{}, Error.New("item %s has term %q", item.Key, item.Attributes[attrTerm])
	}
	return record{exists: true, term: term, attempt: item.Attributes[attrAttempt]}, nil
}

func formatTerm(t uint64) string { return strconv.FormatUint(t, 10) }

// State is the platform's view of an instance.
type State string

const (
	// Live is the state of an instance that answered its last health check.
	Live State = "live"
	// Leaving is the state of an instance that is being stopped.
	Leaving State = "leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name          string
	State         State
	PeerAddress   string // IP:port
	FailureDomain string
}

// Instances returns the platform's list of instances, ordered by name. The list lags
// behind the actual state. It omits entries without a known state, a valid address or
// a failure domain, so that one invalid entry does not hide the others.
func (r *Registry) Instances(ctx context.Context) ([]Instance, error) {
	items, err := r.table.Query(ctx, instancePrefix, store.Eventual)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []Instance
	for _, item := range items {
		entry := Instance{
			Name:          strings.TrimPrefix(item.Key, instancePrefix),
			State:         State(item.Attributes["state"]),
			PeerAddress:   item.Attributes["peer_address"],
			FailureDomain: item.Attributes["failure_domain"],
		}
		if _, err := netip.ParseAddrPort(entry.PeerAddress); err != nil || entry.FailureDomain == "" {
			continue
		}
		if entry.State == Live || entry.State == Leaving {
			out = append(out, entry)
		}
	}
	return out, nil
}
