package catalog

import (
	"fmt"
	"io"
)

// Credential is what a caller presents in its startup message: a key where callers are
// identified, a name elsewhere. Which of the two it is depends on the configuration, so
// the text is readable only through Name, and formatting a Credential never shows it.
type Credential struct {
	// Digest identifies the caller's workspace.
	Digest KeyDigest
	text   string
}

// NewCredential digests the text that a caller has sent.
func NewCredential(text []byte) Credential {
	return Credential{Digest: DigestKey(string(text)), text: string(text)}
}

// Name returns the text of the credential, for use in logs, where callers are not
// identified. Where they are, it is a key and Name returns an empty string.
func (c Credential) Name(identified bool) string {
	if identified {
		return ""
	}
	return c.text
}

// WithoutText returns the credential with its digest alone.
func (c Credential) WithoutText() Credential { return Credential{Digest: c.Digest} }

// String returns the start of the digest, which does not disclose a key.
func (c Credential) String() string { return string(c.Digest[:min(len(c.Digest), shownDigest)]) }

// Format implements fmt.Formatter, so that no verb shows the text.
func (c Credential) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, c.String()) // formatting has no error to report
}

// shownDigest is the number of characters of a digest in logs: enough to compare with the
// digest of a key, too few to be of use otherwise.
const shownDigest = 8
