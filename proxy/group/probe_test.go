package group

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

// silentDialer is a Dialer of a member that accepts no connection. It calls during at an
// offset from the beginning of each attempt.
type silentDialer struct {
	now      *time.Duration
	offset   time.Duration
	during   func()
	attempts int
}

func (d *silentDialer) Dial(_ statement.Target, timeout time.Duration) (statement.Conn, error) {
	d.attempts++
	*d.now += d.offset
	if d.during != nil {
		d.during()
	}
	*d.now += timeout - d.offset
	return nil, &statement.ConnError{Timeout: true, Err: errors.New("timeout")}
}

// Guards against the replacement of a primary that lives: probes on new connections time out
// while its listener is saturated, but it answers on open connections. 60 primaries counted as
// lost and 3 were replaced that way after a loss of power. An answer that was under way when
// the primary failed must not delay the detection.
func TestProbeOfSaturatedPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		offset           time.Duration
		answered, before bool
		want             probeResult
		attempts         int
	}{
		"answers":          {100 * time.Millisecond, true, true, probeUnknown, 1},
		"answer under way": {20 * time.Millisecond, true, true, probeDead, 1},
		"silent":           {0, false, true, probeDead, 1},
		"never answered":   {0, false, false, probeDead, 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			g := newTestGroup(&fakeRecordStore{now: &now}, func() time.Duration { return now })
			primary := primacy.Primary{Member: "a", Term: 1}
			dialer := &silentDialer{now: &now, offset: test.offset}
			g.cfg.Dialer = dialer
			g.UpdateRecord(primacy.Record{Service: "s", Primary: primary, Version: 7}, exactTimestamp(now))
			g.UpdateMembers(catalog.Members{"a": {ID: "a", Service: "s", Address: "a"}}, now)
			_, u := g.Primary()
			answer := func() { g.ObservePosition(u, position.Position{Term: 1, Offset: 1}, now) }
			if test.before {
				answer()
				now += time.Second
			}
			if test.answered {
				dialer.during = answer
			}
			assert.Equal(t, g.probe(u, primary), test.want)
			assert.Equal(t, dialer.attempts, test.attempts)
		})
	}
}
