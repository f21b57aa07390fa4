// Package configstore stores the revisions of the fleet configuration document with
// optimistic concurrency control. Each document is an object whose key is its SHA-256
// hash; one table item, the head, names the current revision and is replaced by a
// conditional put.
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

	// maxPuts bounds the conditional puts of one Apply. A put is repeated only if
	// its response was lost and a read shows that it has not taken effect.
	maxPuts = 3
)

// Revision is the number of a document in the order of acceptance, from 1. 0 means
// that there is no document.
type Revision uint64

// Head is the content of the table item that names the current document.
type Head struct {
	Revision Revision
	SHA256   string // hex
	WriterID string
}

// ConflictError means that the document was not applied because the current revision
// is not the expected one.
type ConflictError struct {
	Expected Revision
	Current  Revision
	Document *fleet.Document // current document; nil if there is none or it could not be read
	Raw      []byte          // text of Document
	// MayHaveBeenApplied is set if the response to a put was lost and later revisions
	// hide whether it took effect.
	MayHaveBeenApplied bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("revision %d is in force, not the expected %d", e.Current, e.Expected)
	if e.MayHaveBeenApplied {
		s += "; the document may have been in force in between"
	}
	return s
}

// ValidationError means that the document was not applied because it is invalid, or
// because its difference from the current document is not allowed.
type ValidationError struct{ Findings []fleet.Finding }

// Error implements error.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("document rejected: %d findings, the first is %s", len(e.Findings), e.Findings[0])
}

// Store reads and replaces the current document. It is safe for concurrent use.
type Store struct {
	table   store.Table
	objects store.Objects
}

// New returns a store on the table and the object store.
func New(t store.Table, o store.Objects) *Store { return &Store{table: t, objects: o} }

// Hash returns the SHA-256 hash of a document's text in hexadecimal.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Head returns the current head, or store.ErrNotFound before the first Apply. With
// store.Eventual it may return an earlier one.
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

// Document returns the document that a head names, and its text. It returns an error
// if the text does not have the hash in the head.
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

// Read returns the current revision, its document and the text of it with a
// consistent read, or store.ErrNotFound before the first Apply.
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

// Apply makes the document current if the expected revision still is, and returns the
// new revision. expected is 0 if there is no revision yet. writerID must be unique to
// this call, because it identifies the write if its response is lost. Errors are
// ValidationError, ConflictError and those of the platform; for the latter,
// store.MayHaveTakenEffect reports whether the document may have become current.
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
		if store.MayHaveTakenEffect(err) {
			// No head names the object yet, so the document is not current whether or
			// not the object was stored.
			err = &store.UnavailableError{Operation: "store document", Outcome: store.NotPerformed, Err: errors.Unwrap(err)}
		}
		return 0, Error.Wrap(err)
	}
	return s.replaceHead(ctx, expected, next)
}

// checkChange returns a ConflictError if the expected revision is not current, and a
// ValidationError if the change from the current document is not allowed.
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

// replaceHead puts the next head on the condition that the expected revision is still
// current. Repeating the put is safe: its condition holds at most once, and the
// writer id in the head shows whose put took effect.
func (s *Store) replaceHead(ctx context.Context, expected Revision, next Head) (Revision, error) {
	condition := store.IfAbsent()
	if expected > 0 {
		condition = store.IfEquals(attrRevision, formatRevision(expected))
	}
	item := store.Item{Key: headKey, Attributes: map[string]string{
		attrRevision: formatRevision(next.Revision), attrSHA256: next.SHA256, attrWriter: next.WriterID}}
	mayHaveRun := false // an earlier put may have taken effect
	var err error
	for range maxPuts {
		err = s.table.Put(ctx, item, condition)
		if err == nil {
			return next.Revision, nil
		}
		failed := errors.Is(err, store.ErrConditionFailed)
		mayHaveRun = mayHaveRun || store.MayHaveTakenEffect(err)
		if !failed && !mayHaveRun {
			return 0, Error.Wrap(err)
		}
		current, readErr := s.Head(ctx, store.Consistent)
		switch {
		case readErr == nil && current == next:
			return next.Revision, nil
		case readErr == nil && current.Revision > expected:
			return 0, s.conflict(ctx, expected, next, current, mayHaveRun)
		case readErr != nil && !errors.Is(readErr, store.ErrNotFound):
			return 0, unavailableError(mayHaveRun, errors.Join(err, readErr))
		}
	}
	return 0, unavailableError(mayHaveRun, err)
}

// conflict returns a ConflictError with the current document.
func (s *Store) conflict(ctx context.Context, expected Revision, next, current Head, mayHaveRun bool) error {
	e := &ConflictError{Expected: expected, Current: current.Revision}
	e.MayHaveBeenApplied = mayHaveRun && current.Revision > next.Revision
	doc, raw, err := s.Document(ctx, current)
	if err == nil {
		e.Document, e.Raw = doc, raw
	}
	return Error.Wrap(e)
}

func unavailableError(mayHaveRun bool, err error) error {
	outcome := store.NotPerformed
	if mayHaveRun {
		outcome = store.OutcomeUnknown
	}
	return Error.Wrap(&store.UnavailableError{Operation: "replace revision", Outcome: outcome, Err: err})
}

func formatRevision(r Revision) string { return strconv.FormatUint(uint64(r), 10) }
