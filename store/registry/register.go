// Package registry keeps the failover record of each service and reads the
// platform's list of instances.
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

// Result is the result of a reservation.
type Result uint8

const (
	// Unavailable means that the platform did not say who goes first. The
	// reservation may have taken effect.
	Unavailable Result = iota
	// Won means that this attempt goes first in its term.
	Won
	// Lost means that another attempt holds this term or a later one.
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

// Registry reads and writes table items. It is safe for concurrent use.
type Registry struct {
	table  store.Table
	holder string
}

// New returns a register. holder is the name of this instance.
func New(t store.Table, holder string) *Registry { return &Registry{table: t, holder: holder} }

type record struct {
	exists  bool
	term    uint64
	attempt string
}

// against returns the result of comparing a record with a reservation, or
// Unavailable if the record decides nothing.
func (r record) against(term uint64, attempt string) Result {
	switch {
	case r.exists && r.term == term && r.attempt == attempt:
		return Won
	case r.exists && r.term >= term:
		return Lost
	default:
		return Unavailable
	}
}

// Reserve records that the attempt goes first in the term of the service. The
// attempt id is unique to one attempt. If the answer is lost, the record is
// read back once. The error explains the result Unavailable and is nil
// otherwise. The reservation orders coordinators only; term uniqueness at the
// members keeps a failover safe without it.
func (r *Registry) Reserve(ctx context.Context, service string, term uint64, attempt string) (Result, error) {
	before, err := r.read(ctx, service)
	if err != nil {
		return Unavailable, err
	}
	if result := before.against(term, attempt); result != Unavailable {
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
	case !store.MayHaveRun(err):
		return Unavailable, Error.Wrap(err)
	}
	after, readErr := r.read(ctx, service)
	if readErr != nil {
		return Unavailable, Error.Wrap(errors.Join(err, readErr))
	}
	result := after.against(term, attempt)
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

// Instance is one entry of the platform's list.
type Instance struct {
	Name          string
	State         State
	PeerAddress   string // IP:port
	FailureDomain string
}

// Instances returns the platform's list, ordered by name. The list lags behind
// the actual state. Entries without a known state or a valid address are left
// out, so that one damaged entry does not hide the others.
func (r *Registry) Instances(ctx context.Context) ([]Instance, error) {
	items, err := r.table.Query(ctx, instancePrefix, store.Eventual)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []Instance
	for _, item := range items {
		in := Instance{
			Name:          strings.TrimPrefix(item.Key, instancePrefix),
			State:         State(item.Attributes["state"]),
			PeerAddress:   item.Attributes["peer_address"],
			FailureDomain: item.Attributes["failure_domain"],
		}
		if _, err := netip.ParseAddrPort(in.PeerAddress); err != nil || in.FailureDomain == "" {
			continue
		}
		if in.State == Live || in.State == Leaving {
			out = append(out, in)
		}
	}
	return out, nil
}
