package platformd

import (
	"encoding/json"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	partitionKey = "pk" // attribute names
	sortKey      = "sk"

	// maxVersions is the number of versions kept per item for stale reads.
	maxVersions = 64

	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	contentType  = "application/x-amz-json-1.0"
)

// attribute is a DynamoDB attribute value of type string (S) or number (N).
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
}

func stringAttribute(s string) attribute { return attribute{S: &s} }

// equal compares type and value, as DynamoDB does.
func (a attribute) equal(b attribute) bool {
	same := func(x, y *string) bool { return x == y || x != nil && y != nil && *x == *y }
	return same(a.S, b.S) && same(a.N, b.N)
}

// string returns a string value, or "" for any other.
func (a attribute) string() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

type attributes map[string]attribute

type itemKey struct{ table, pk, sk string }

type version struct {
	writtenAt time.Time
	attrs     attributes
}

// tables holds the items of all tables, with the recent versions of each item.
type tables struct {
	mu    sync.Mutex
	items map[itemKey][]version // versions in the order of puts
}

func newTables() *tables { return &tables{items: map[itemKey][]version{}} }

// get returns the item as of a time, or nil if it did not exist.
func (t *tables) get(key itemKey, at time.Time) attributes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return versionAt(t.items[key], at)
}

// versionAt returns the newest version that is not later than a time, or nil.
func versionAt(versions []version, at time.Time) attributes {
	for _, v := range slices.Backward(versions) {
		if !v.writtenAt.After(at) {
			return v.attrs
		}
	}
	return nil
}

// put replaces an item if holds returns true for its latest version, and reports
// whether it did. now may be earlier than that version: puts take effect in the order
// in which they acquire the lock, whatever the order in which they read the clock.
func (t *tables) put(key itemKey, attrs attributes, now time.Time, holds func(attributes) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.items[key]
	var latest attributes
	if n := len(versions); n > 0 {
		latest = versions[n-1].attrs
		if versions[n-1].writtenAt.After(now) {
			now = versions[n-1].writtenAt
		}
	}
	if !holds(latest) {
		return false
	}
	versions = append(versions, version{now, attrs})
	if len(versions) > maxVersions {
		versions = versions[len(versions)-maxVersions:]
		versions[0].writtenAt = time.Time{} // reads of an older state see the oldest version kept
	}
	t.items[key] = versions
	return true
}

// query returns the items of a partition whose sort key has the prefix, as of a
// time, in no particular order.
func (t *tables) query(table, pk, prefix string, at time.Time) []attributes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []attributes
	for key, versions := range t.items {
		if key.table != table || key.pk != pk || !strings.HasPrefix(key.sk, prefix) {
			continue
		}
		if attrs := versionAt(versions, at); attrs != nil {
			out = append(out, attrs)
		}
	}
	return out
}

// itemCounts returns the number of items by partition key.
func (t *tables) itemCounts(at time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for key, versions := range t.items {
		if versionAt(versions, at) != nil {
			out[key.pk]++
		}
	}
	return out
}

// request holds the request fields of all supported operations. Other fields, such as
// the options for returned values, are ignored.
type request struct {
	TableName                 string
	Key                       attributes
	Item                      attributes
	ConsistentRead            bool
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
}

// apiError is an error response of the DynamoDB protocol.
type apiError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

func validationError(message string) *apiError {
	return &apiError{"com.amazon.coral.validate#ValidationException", message}
}

func (s *Server) handleTable(w http.ResponseWriter, r *http.Request) {
	operation, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || !ok {
		writeJSON(w, http.StatusBadRequest, contentType, validationError("malformed request"))
		return
	}
	var response any
	var apiErr *apiError
	switch operation {
	case "GetItem":
		response, apiErr = s.getItem(&req)
	case "PutItem":
		response, apiErr = s.putItem(&req)
		if req.ConditionExpression != "" && s.faults.loseAnswer() {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	case "Query":
		response, apiErr = s.query(&req)
	default:
		apiErr = &apiError{errorPrefix + "UnknownOperationException", operation}
	}
	if apiErr != nil {
		writeJSON(w, http.StatusBadRequest, contentType, apiErr)
		return
	}
	writeJSON(w, http.StatusOK, contentType, response)
}

// readTime returns the time as of which a read sees the tables.
func (s *Server) readTime(req *request) time.Time {
	if req.ConsistentRead {
		return time.Now()
	}
	return time.Now().Add(-time.Duration(s.faults.get().StaleReadsMS) * time.Millisecond)
}

func (s *Server) getItem(req *request) (any, *apiError) {
	key := itemKey{req.TableName, req.Key[partitionKey].string(), req.Key[sortKey].string()}
	if key.pk == "" || key.sk == "" {
		return nil, validationError("the key is incomplete")
	}
	s.counts.add(s.counts.state.Reads, key.pk)
	at := s.readTime(req)
	found := s.tables.get(key, at)
	if key.pk == instancePartition {
		found = s.instances.items(at)[key.sk]
	}
	response := map[string]any{}
	if found != nil {
		response["Item"] = found
	}
	return response, nil
}

func (s *Server) putItem(req *request) (any, *apiError) {
	key := itemKey{req.TableName, req.Item[partitionKey].string(), req.Item[sortKey].string()}
	if key.pk == "" || key.sk == "" {
		return nil, validationError("the key is incomplete")
	}
	if key.pk == instancePartition {
		return nil, &apiError{errorPrefix + "AccessDeniedException", "the platform maintains the instance list"}
	}
	holds, apiErr := req.condition()
	if apiErr != nil {
		return nil, apiErr
	}
	s.counts.add(s.counts.state.Writes, key.pk)
	if !s.tables.put(key, req.Item, time.Now(), holds) {
		return nil, &apiError{errorPrefix + "ConditionalCheckFailedException", "The conditional request failed"}
	}
	return struct{}{}, nil
}

var (
	notExistsPattern = regexp.MustCompile(`^attribute_not_exists\((#?\w+)\)$`)
	equalsPattern    = regexp.MustCompile(`^(#?\w+) = (:\w+)$`)
	prefixPattern    = regexp.MustCompile(`^(#?\w+) = (:\w+) AND begins_with\((#?\w+), (:\w+)\)$`)
)

// condition compiles ConditionExpression to a predicate on the current item.
func (req *request) condition() (func(attributes) bool, *apiError) {
	expression := req.ConditionExpression
	if expression == "" {
		return func(attributes) bool { return true }, nil
	}
	if m := notExistsPattern.FindStringSubmatch(expression); m != nil {
		name := req.name(m[1])
		return func(item attributes) bool { _, ok := item[name]; return !ok }, nil
	}
	if m := equalsPattern.FindStringSubmatch(expression); m != nil {
		name, value := req.name(m[1]), req.ExpressionAttributeValues[m[2]]
		return func(item attributes) bool { got, ok := item[name]; return ok && got.equal(value) }, nil
	}
	return nil, validationError("unsupported condition " + expression)
}

// name resolves a placeholder for an attribute name.
func (req *request) name(placeholder string) string {
	if name, ok := req.ExpressionAttributeNames[placeholder]; ok {
		return name
	}
	return placeholder
}

func (s *Server) query(req *request) (any, *apiError) {
	pk, prefix, apiErr := req.keyCondition()
	if apiErr != nil {
		return nil, apiErr
	}
	s.counts.add(s.counts.state.Reads, pk)
	at := s.readTime(req)
	found := s.tables.query(req.TableName, pk, prefix, at)
	if pk == instancePartition {
		found = slices.Collect(maps.Values(s.instances.items(at)))
		found = slices.DeleteFunc(found, func(a attributes) bool { return !strings.HasPrefix(a[sortKey].string(), prefix) })
	}
	slices.SortFunc(found, func(a, b attributes) int { return strings.Compare(a[sortKey].string(), b[sortKey].string()) })
	start := req.ExclusiveStartKey[sortKey].string()
	found = slices.DeleteFunc(found, func(a attributes) bool { return a[sortKey].string() <= start })
	response := map[string]any{}
	if len(found) > s.config.PageSize {
		found = found[:s.config.PageSize]
		last := found[len(found)-1]
		response["LastEvaluatedKey"] = attributes{partitionKey: last[partitionKey], sortKey: last[sortKey]}
	}
	response["Items"], response["Count"] = found, len(found)
	return response, nil
}

// keyCondition parses KeyConditionExpression. The prefix of the sort key is empty if
// there is none.
func (req *request) keyCondition() (pk, prefix string, apiErr *apiError) {
	expression := req.KeyConditionExpression
	m := prefixPattern.FindStringSubmatch(expression)
	if m == nil {
		m = equalsPattern.FindStringSubmatch(expression)
	}
	if m == nil || req.name(m[1]) != partitionKey || len(m) == 5 && req.name(m[3]) != sortKey {
		return "", "", validationError("unsupported key condition " + expression)
	}
	if len(m) == 5 {
		prefix = req.ExpressionAttributeValues[m[4]].string()
	}
	return req.ExpressionAttributeValues[m[2]].string(), prefix, nil
}
