// Package store defines the interfaces to a key-value table with conditional puts and
// to an object store, both offered by the platform. Its errors separate operations
// that had no effect from those whose outcome is unknown.
package store

import (
	"context"
	"errors"
	"fmt"
)

var (
	// ErrConditionFailed means that a put was not performed because its
	// condition did not hold.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotFound means that the item or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable matches every UnavailableError.
	ErrUnavailable = errors.New("platform unavailable")
)

// Outcome says whether a failed operation can have taken effect.
type Outcome uint8

const (
	// OutcomeUnknown means that the operation may have taken effect or may still do so.
	// It is the zero value, so that an unclassified failure never counts as not
	// performed.
	OutcomeUnknown Outcome = iota
	// NotPerformed means that the operation had no effect and will not have one.
	NotPerformed
)

// String returns the outcome as it appears in error messages.
func (o Outcome) String() string {
	if o == NotPerformed {
		return "not performed"
	}
	return "outcome unknown"
}

// UnavailableError means that the platform gave no valid response to an operation.
type UnavailableError struct {
	Operation string
	Outcome   Outcome
	Err       error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: %v (%v): %v", e.Operation, ErrUnavailable, e.Outcome, e.Err)
}

// Unwrap makes ErrUnavailable and the cause visible to errors.Is and errors.As.
func (e *UnavailableError) Unwrap() []error { return []error{ErrUnavailable, e.Err} }

// MayHaveTakenEffect reports whether err is an UnavailableError whose operation may have taken
// effect.
func MayHaveTakenEffect(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u) && u.Outcome == OutcomeUnknown
}

// Consistency is the read consistency.
type Consistency bool

const (
	// Eventual reads may return an older version of an item.
	Eventual Consistency = false
	// Consistent reads return the latest version of an item.
	Consistent Consistency = true
)

// Item is a table item. Its key has the form "group/name".
type Item struct {
	Key        string
	Attributes map[string]string
}

// Condition is the condition of a put. The zero value always holds.
type Condition struct {
	Absent    bool   // the item does not exist
	Attribute string // if not empty: the attribute exists and equals Value
	Value     string
}

// IfAbsent holds if the item does not exist.
func IfAbsent() Condition { return Condition{Absent: true} }

// IfEquals holds if the item exists and its attribute has the value.
func IfEquals(attribute, value string) Condition {
	return Condition{Attribute: attribute, Value: value}
}

// Table is a key-value table with conditional puts. All methods return an
// UnavailableError if the platform gives no valid response.
type Table interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string, c Consistency) (Item, error)
	// Put writes an item, replacing all its attributes, or returns
	// ErrConditionFailed.
	Put(ctx context.Context, item Item, c Condition) error
	// Query returns the items whose key starts with the prefix, ordered by key.
	// The prefix must include the "/" of the key.
	Query(ctx context.Context, prefix string, c Consistency) ([]Item, error)
}

// Objects is an object store. Both methods return an UnavailableError if the platform
// gives no valid response.
type Objects interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}
