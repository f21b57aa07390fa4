package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

type outcomeKind uint8

const (
	// unknown means that the request may have been executed.
	unknown outcomeKind = iota
	answered
	notRun
	// databaseError means that the database executed the request and returned an
	// error, so that the request has no effect.
	databaseError
)

// outcome is the result of one attempt.
type outcome struct {
	kind       outcomeKind
	code       string
	retryAfter time.Duration // retry delay that the proxy asked for; 0 if none
	err        error
}

// Codes of outcomes that the caller detects without a response.
const (
	codeTimeout        = "timeout"
	codeLostConnection = "lost_connection"
	codeNoConnection   = "no_connection"
)

func outcomeOf(err error) outcome {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return outcome{kind: answered}
	case errors.As(err, &pg):
		return outcomeOfPgError(pg)
	case pgconn.SafeToRetry(err):
		return outcome{kind: notRun, code: codeNoConnection, err: err}
	case errors.Is(err, context.DeadlineExceeded):
		return outcome{kind: unknown, code: codeTimeout, err: err}
	default:
		return outcome{kind: unknown, code: codeLostConnection, err: err}
	}
}

// outcomeOfPgError reads verdict, code and retry_after_ms from the detail of an error.
func outcomeOfPgError(pg *pgconn.PgError) outcome {
	o := outcome{kind: databaseError, code: pg.Code, err: fmt.Errorf("%w %s", pg, pg.Detail)}
	for _, field := range strings.Fields(pg.Detail) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "verdict":
			o.kind = kindByVerdict[value]
		case "code":
			o.code = value
		case "retry_after_ms":
			ms, _ := strconv.Atoi(value) // 0 if malformed: no retry delay
			o.retryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	return o
}

// kindByVerdict maps verdicts to outcomes. A verdict that is not listed counts as unknown.
var kindByVerdict = map[string]outcomeKind{"not_run": notRun, "may_have_run": unknown, "ran": databaseError}
