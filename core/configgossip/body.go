package configgossip

import "slices"

// FetchResponse is the answer to Fetch: a whole document, or the bytes that replace the
// middle of an earlier one. An edit usually changes a few adjacent lines, so
// that this simple delta is small.
type FetchResponse struct {
	Digest Digest `json:"digest"`
	Base   string `json:"base,omitempty"`   // hash of the earlier document; empty for a whole one
	Prefix int    `json:"prefix,omitempty"` // bytes kept from the start of the base
	Suffix int    `json:"suffix,omitempty"` // bytes kept from the end of the base
	Data   []byte `json:"data"`             // document, or its bytes between prefix and suffix
}

// AnswerFetch returns the body for a peer's Fetch. It reports false if the node does
// not have the wanted revision or a later one.
func (n *Node) AnswerFetch(want, have Digest) (FetchResponse, bool) {
	current := n.Current()
	if current.Revision == 0 || current.Revision < want.Revision {
		return FetchResponse{}, false
	}
	whole := FetchResponse{Digest: current.Digest, Data: current.Raw}
	i := slices.IndexFunc(n.history, func(d Document) bool { return d.Digest == have })
	if i < 0 {
		return whole, true
	}
	return delta(n.history[i], current), true
}

// delta describes a document by the common start and end of its base.
func delta(base, doc Document) FetchResponse {
	a, b := base.Raw, doc.Raw
	shorter := min(len(a), len(b))
	prefix := 0
	for prefix < shorter && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return FetchResponse{Digest: doc.Digest, Base: base.SHA256, Prefix: prefix, Suffix: suffix, Data: b[prefix : len(b)-suffix]}
}

// expand returns the document of a body. It reports false if the base is not
// known or too short. The caller verifies the hash.
func (b FetchResponse) expand(known []Document) ([]byte, bool) {
	if b.Base == "" {
		return b.Data, true
	}
	i := slices.IndexFunc(known, func(d Document) bool { return d.SHA256 == b.Base })
	if i < 0 || b.Prefix < 0 || b.Suffix < 0 || b.Prefix > len(known[i].Raw)-b.Suffix {
		return nil, false
	}
	base := known[i].Raw
	return slices.Concat(base[:b.Prefix], b.Data, base[len(base)-b.Suffix:]), true
}
