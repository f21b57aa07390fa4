package dbgroup

import (
	"bytes"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// readBatches collects messages into batches, each of which ends with Sync, Flush,
// Query or Terminate. It returns when the client closes the connection or the
// session ends. Because a batch is complete before it is executed, the last
// Execute of a pipeline is known and can commit in the same step.
func (s *session) readBatches(batches chan<- []pgproto3.FrontendMessage) {
	defer close(batches)
	defer s.cancelClientCtx()
	var batch []pgproto3.FrontendMessage
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		batch = append(batch, copyMessage(msg))
		if !endsBatch(msg) {
			continue
		}
		select {
		case batches <- batch:
			batch = nil
		case <-s.ctx.Done():
			return
		}
	}
}

func endsBatch(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.Sync, *pgproto3.Flush, *pgproto3.Query, *pgproto3.Terminate:
		return true
	}
	return false
}

// copyMessage copies a message, because pgproto3.Backend reuses it.
func copyMessage(msg pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := msg.(type) {
	case *pgproto3.Query:
		c := *m
		return &c
	case *pgproto3.Parse:
		c := *m
		c.ParameterOIDs = slices.Clone(m.ParameterOIDs)
		return &c
	case *pgproto3.Bind:
		return copyBind(m)
	case *pgproto3.Describe:
		c := *m
		return &c
	case *pgproto3.Execute:
		c := *m
		return &c
	case *pgproto3.Close:
		c := *m
		return &c
	}
	return msg // the other messages have no content that the session reads
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := *m
	c.ParameterFormatCodes = slices.Clone(m.ParameterFormatCodes)
	c.ResultFormatCodes = slices.Clone(m.ResultFormatCodes)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		c.Parameters[i] = bytes.Clone(p) // nil (NULL) stays nil
	}
	return &c
}
