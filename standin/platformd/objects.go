package platformd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// objects holds the objects of all buckets, by "bucket/key".
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func newObjects() *objects { return &objects{data: map[string][]byte{}} }

func (o *objects) put(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	return data, ok
}

func objectName(r *http.Request) string { return r.PathValue("bucket") + "/" + r.PathValue("key") }

func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	s.counts.add(s.counts.state.ObjectWrites, r.PathValue("key"))
	s.objects.put(objectName(r), data)
	w.Header().Set("ETag", `"stored"`)
}

func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request) {
	s.counts.add(s.counts.state.ObjectReads, r.PathValue("key"))
	data, ok := s.objects.get(objectName(r))
	if !ok {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = io.Copy(w, bytes.NewReader(data))
}

// writeObjectError writes an S3 error response.
func writeObjectError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	fmt.Fprintf(w, `<?xml version="1.0" encoding="UTF-8"?><Error><Code>%s</Code><Message>%s</Message></Error>`, code, code)
}
