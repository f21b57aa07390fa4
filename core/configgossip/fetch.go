package configgossip

import "slices"

// FetchResponse is the response to a Fetch: a whole document, or a delta that replaces the
// middle of an earlier one. An edit usually changes a few adjacent lines, so such a delta
// is small.
type FetchResponse struct {
	Digest Digest `json:"digest"`
	Base   string `json:"base,omitempty"`   // SHA256 of the earlier document; empty for a whole document
	Prefix int    `json:"prefix,omitempty"` // bytes kept from the start of the base
	Suffix int    `json:"suffix,omitempty"` // bytes kept from the end of the base
	Data   []byte `json:"data"`             // the document, or its bytes between prefix and suffix
}

// AnswerFetch returns the response to the Fetch of a peer, and false if the node does not
// have the revision want or a later one.
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

// delta returns the response that describes doc by the bytes that it has in common with
// the start and the end of base.
func delta(base, doc Document) FetchResponse {
	baseRaw, docRaw := base.Raw, doc.Raw
	maxCommon := min(len(baseRaw), len(docRaw))
	prefix := 0
	for prefix < maxCommon && baseRaw[prefix] == docRaw[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < maxCommon-prefix && baseRaw[len(baseRaw)-1-suffix] == docRaw[len(docRaw)-1-suffix] {
		suffix++
	}
	return FetchResponse{Digest: doc.Digest, Base: base.SHA256, Prefix: prefix, Suffix: suffix, Data: docRaw[prefix : len(docRaw)-suffix]}
}

// expand returns the document that r describes, and false if its base is unknown or too
// short. The calling function verifies the hash.
func (r FetchResponse) expand(documents []Document) ([]byte, bool) {
	if r.Base == "" {
		return r.Data, true
	}
	i := slices.IndexFunc(documents, func(d Document) bool { return d.SHA256 == r.Base })
	if i < 0 || r.Prefix < 0 || r.Suffix < 0 || r.Prefix > len(documents[i].Raw)-r.Suffix {
		return nil, false
	}
	base := documents[i].Raw
	return slices.Concat(base[:r.Prefix], r.Data, base[len(base)-r.Suffix:]), true
}
