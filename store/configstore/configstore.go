// Package configstore keeps the revisions of the fleet document: the document
// as an object under its hash, and the current revision in one table item.
package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/store"
)

// Error is the class of errors of this package.
var Error = errs.Class("configstore")

const (
	headKey      = "config/head"
	objectPrefix = "config/"

	attrRevision = "revision"
	attrSHA256   = "sha256"
	attrWriter   = "writer_id"

	// maxPuts bounds the conditional puts of one Apply. Only a put whose answer
	// was lost and that is shown not to have taken effect is repeated.
	maxPuts = 3
)

// Revision counts the accepted documents. The first one is 1; 0 means none.
type Revision uint64

// Head is the item that names the current document.
type Head struct {
	Revision Revision
	SHA256   string // hex
	WriterID string
}

// ConflictError means that the document was not applied because another
// revision than the expected one is in force.
type ConflictError struct {
	Expected Revision
	Current  Revision
	Document *fleet.Document // of the current revision; nil if there is none or it could not be read
	Raw      []byte
	// MayHaveApplied is set if the answer of an earlier attempt was lost and
	// later revisions hide whether it took effect.
	MayHaveApplied bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("revision %d is in force, not the expected %d", e.Current, e.Expected)
	if e.MayHaveApplied {
		s += "; the document may have been in force in between"
	}
	return s
}

// ValidationError means that the document was not applied because of its content.
type ValidationError struct{ Findings []fleet.Finding }

// Error implements error.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("document refused: %d findings, the first is %s", len(e.Findings), e.Findings[0])
}

// Store reads and replaces the current revision. It is safe for concurrent use.
type Store struct {
	table   store.Table
	objects store.Objects
}

// New returns a store on the table and the object store.
func New(t store.Table, o store.Objects) *Store { return &Store{table: t, objects: o} }

// Hash returns the hash under which a raw document is stored.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Head returns the current head, or store.ErrNotFound before the first
// Apply. An eventual read may return an older one.
func (s *Store) Head(ctx context.Context, c store.Consistency) (Head, error) {
	item, err := s.table.Get(ctx, headKey, c)
	if err != nil {
		return Head{}, Error.Wrap(err)
	}
	n, err := strconv.ParseUint(item.Attributes[attrRevision], 10, 64)
	if err != nil || n == 0 {
		return Head{}, Error.New("item %s has revision %q", headKey, item.Attributes[attrRevision])
	}
	return Head{Revision: Revision(n), SHA256: item.Attributes[attrSHA256], WriterID: item.Attributes[attrWriter]}, nil
}

// Document returns the document of a head. Its hash is verified.
func (s *Store) Document(ctx context.Context, h Head) (*fleet.Document, []byte, error) {
	raw, err := s.objects.Get(ctx, objectPrefix+h.SHA256)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	if got := Hash(raw); got != h.SHA256 {
		return nil, nil, Error.New("object of revision %d has hash %s, expected %s", h.Revision, got, h.SHA256)
	}
	doc, err := fleet.Parse(raw)
	if err != nil {
		return nil, nil, Error.New("revision %d: %w", h.Revision, err)
	}
	return doc, raw, nil
}

// Read returns the current revision with a consistent read, or
// store.ErrNotFound before the first Apply.
func (s *Store) Read(ctx context.Context) (Revision, *fleet.Document, []byte, error) {
	h, err := s.Head(ctx, store.Consistent)
	if err != nil {
		return 0, nil, nil, err
	}
	doc, raw, err := s.Document(ctx, h)
	if err != nil {
		return 0, nil, nil, err
	}
	return h.Revision, doc, raw, nil
}

// Apply replaces the expected revision by the document and returns the new
// revision. expected is 0 if there is no revision yet. writerID must be unique
// to this call, because it identifies the write if its answer is lost. Errors
// are ValidationError, ConflictError and those of the platform; for the latter,
// store.MayHaveRun says whether the document may be in force.
func (s *Store) Apply(ctx context.Context, expected Revision, raw []byte, writerID string) (Revision, error) {
	if writerID == "" {
		return 0, Error.New("the writer id is empty")
	}
	if findings := fleet.Check(raw); len(findings) > 0 {
		return 0, Error.Wrap(&ValidationError{findings})
	}
	if err := s.checkChange(ctx, expected, raw); err != nil {
		return 0, err
	}
	next := Head{Revision: expected + 1, SHA256: Hash(raw), WriterID: writerID}
	if err := s.objects.Put(ctx, objectPrefix+next.SHA256, raw); err != nil {
		if store.MayHaveRun(err) {
			// Without the head the object is not in force, whatever became of it.
			err = &store.UnavailableError{Operation: "store document", Outcome: store.NotPerformed, Err: errors.Unwrap(err)}
		}
		return 0, Error.Wrap(err)
	}
	return s.replaceHead(ctx, expected, next)
}

// checkChange compares the document with the one in force.
func (s *Store) checkChange(ctx context.Context, expected Revision, raw []byte) error {
	current, doc, currentRaw, err := s.Read(ctx)
	if errors.Is(err, store.ErrNotFound) && expected == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	if current != expected {
		return Error.Wrap(&ConflictError{Expected: expected, Current: current, Document: doc, Raw: currentRaw})
	}
	next, err := fleet.Parse(raw)
	if err != nil {
		return Error.Wrap(err)
	}
	if findings := fleet.CheckChange(doc, next); len(findings) > 0 {
		return Error.Wrap(&ValidationError{findings})
	}
	return nil
}

// replaceHead puts the head on the condition that the expected revision is
// still in force. Repeating the same put is safe: its condition holds at most
// once, and the writer id shows whose put took effect.
func (s *Store) replaceHead(ctx context.Context, expected Revision, next Head) (Revision, error) {
	condition := store.IfAbsent()
	if expected > 0 {
		condition = store.IfEquals(attrRevision, formatRevision(expected))
	}
	item := store.Item{Key: headKey, Attributes: map[string]string{
		attrRevision: formatRevision(next.Revision), attrSHA256: next.SHA256, attrWriter: next.WriterID}}
	lost := false // an earlier put may have taken effect
	var err error
	for range maxPuts {
		err = s.table.Put(ctx, item, condition)
		if err == nil {
			return next.Revision, nil
		}
		failed := errors.Is(err, store.ErrConditionFailed)
		lost = lost || store.MayHaveRun(err)
		if !failed && !lost {
			return 0, Error.Wrap(err)
		}
		current, readErr := s.Head(ctx, store.Consistent)
		switch {
		case readErr == nil && current == next:
			return next.Revision, nil
		case readErr == nil && current.Revision > expected:
			return 0, s.conflict(ctx, expected, next, current, lost)
		case readErr != nil && !errors.Is(readErr, store.ErrNotFound):
			return 0, outcomeOf(lost, errors.Join(err, readErr))
		}
	}
	return 0, outcomeOf(lost, err)
}

func (s *Store) conflict(ctx context.Context, expected Revision, next, current Head, lost bool) error {
	e := &ConflictError{Expected: expected, Current: current.Revision}
	e.MayHaveApplied = lost && current.Revision > next.Revision
	doc, raw, err := s.Document(ctx, current)
	if err == nil {
		e.Document, e.Raw = doc, raw
	}
	return Error.Wrap(e)
}

func outcomeOf(lost bool, err error) error {
	outcome := store.NotPerformed
	if lost {
		outcome = store.Unknown
	}
	return Error.Wrap(&store.UnavailableError{Operation: "replace revision", Outcome: outcome, Err: err})
}

func formatRevision(r Revision) string { return strconv.FormatUint(uint64(r), 10) }
