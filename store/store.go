// Package store defines the narrow interface to the platform's table
// service and object store, and the errors that separate what was not
// performed from what may have been.
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

// Outcome says what is known about a failed operation.
type Outcome uint8

const (
	// Unknown means that the operation may have been performed, now or later.
	// It is the zero value, so that an unclassified failure is never taken as
	// not performed.
	Unknown Outcome = iota
	// NotPerformed means that the operation had no effect and will have none.
	NotPerformed
)

// String returns the outcome as it appears in error messages.
func (o Outcome) String() string {
	if o == NotPerformed {
		return "not performed"
	}
	return "outcome unknown"
}

// UnavailableError means that the platform gave no usable answer.
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

// MayHaveRun reports whether the failed operation may have taken effect.
func MayHaveRun(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u) && u.Outcome == Unknown
}

// Consistency selects between the two kinds of read.
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

// Table is the transactional table service. All methods return an
// UnavailableError if the platform gives no usable answer.
type Table interface {
	// Get returns an item, or ErrNotFound.
	Get(ctx context.Context, key string, c Consistency) (Item, error)
	// Put replaces an item as a whole, or returns ErrConditionFailed.
	Put(ctx context.Context, item Item, c Condition) error
	// Query returns the items whose key starts with the prefix, ordered by key.
	// The prefix contains the "/" of the key.
	Query(ctx context.Context, prefix string, c Consistency) ([]Item, error)
}

// Objects is the object store. Both methods return an UnavailableError if the
// platform gives no usable answer.
type Objects interface {
	// Put writes an object as a whole.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}
