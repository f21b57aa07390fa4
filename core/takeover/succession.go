package takeover

import "time"

// Succession tracks which member the claims of a holder name as the next primary
// (primacy.Claim.Successor).
//
// Instances pass on commits that the named member has, also for a time after a claim was stored that
// names another one or none. So a holder first gives up the member that is named, lets that time pass,
// and compares the logs again before it names another one as called for. The zero value is that of a
// holder whose claims have named nobody.
type Succession struct {
	named       string
	reliedUntil time.Duration
}

// TakeOver returns the succession of a holder whose claim replaces one that names a member, or none if
// that is empty. An instance may rely on a member that was named before until reliedUntil.
func TakeOver(named string, reliedUntil time.Duration) Succession {
	return Succession{named, reliedUntil}
}

// Stored notes that a claim was stored which names a member, or none if that is empty. Instances rely on the one
// that was named before until the local time reliedUntil.
func (s *Succession) Stored(named string, reliedUntil time.Duration) {
	if s.named != "" && s.named != named {
		s.reliedUntil = max(s.reliedUntil, reliedUntil)
	}
	s.named = named
}

// GivesUp reports whether another member is named than the one that is to be called for.
func (s Succession) GivesUp(member string) bool { return s.named != "" && s.named != member }

// Wait returns how long after the local time roundAt, at which the members were asked for their logs, they
// have to be asked again.
func (s Succession) Wait(roundAt time.Duration) time.Duration { return max(s.reliedUntil-roundAt, 0) }
