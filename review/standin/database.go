package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1200 * time.Millisecond
	replicationLag = 20 * time.Millisecond
	workTime       = 3 * time.Millisecond
	promoteTime    = time.Second
)

// commit is one entry of a log: the items that a transaction wrote.
type commit struct {
	term, number uint64
	items        [][2]string
	ids          []string
}

// service is a group of databases that replicate one log.
type service struct {
	name     string
	rec      *record
	store    *store
	mu       sync.Mutex
	members  []*database
	maxConns int
	token    uint64 // greatest fencing token that a promotion carried
}

// database is one member of a service.
type database struct {
	svc      *service
	id       string
	zone     string
	address  string
	listener net.Listener
	slots    chan struct{}

	// Guarded by svc.mu.
	primary    bool
	term       uint64
	log        []commit
	paused     uint64
	state      string
	born       int64
	sequence   int
	conns      int
	data       map[string]string
	drainAcked time.Time
	workFor    time.Duration
}

func (s *service) add(id, zone, address string, primary bool) *database {
	d := &database{svc: s, id: id, zone: zone, primary: primary, term: 1, state: "ready", born: time.Now().UnixMilli(), slots: make(chan struct{}, 2), data: map[string]string{}, workFor: workTime}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fatal("database: %v", err)
	}
	d.listener, d.address = l, l.Addr().String()
	s.members = append(s.members, d)
	go d.accept()
	go func() {
		for {
			d.register()
			time.Sleep(heartbeat)
		}
	}()
	return d
}

func (d *database) register() {
	s := d.svc
	s.mu.Lock()
	d.sequence++
	role := "replica"
	if d.primary {
		role = "primary"
	}
	entry := map[string]any{"Service": s.name, "Address": d.address, "Zone": d.zone, "Version": "1", "Slots": cap(d.slots), "State": d.state,
		"ColdLeftMs": 0, "Sequence": d.sequence, "DbRole": role, "born": d.born}
	s.mu.Unlock()
	s.store.put("servers", d.id, entry)
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.session(c)
	}
}

// readMessage reads one message: a line that ends with CR LF, as the protocol says.
func readMessage(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return "", err
		}
		if bytes.HasSuffix(line, []byte("\r\n")) {
			return string(line[:len(line)-2]), nil
		}
		if len(line) > 1<<20 {
			return "", fmt.Errorf("message is longer than 1 MiB")
		}
	}
}

func (d *database) position() string {
	if len(d.log) == 0 {
		return fmt.Sprintf("%d.0", d.term)
	}
	last := d.log[len(d.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// session is the state of one connection.
type session struct {
	state    string // I, T or E
	readOnly bool
	begin    uint64 // term at BEGIN
	writes   [][2]string
	ids      []string
	prepared map[string]string // name to "READ" or "WRITE"
}

func (d *database) session(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	first, err := readMessage(r)
	if err != nil {
		return
	}
	s := d.svc
	f := strings.Split(first, " ")
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.name || len(f) > 3 && f[3] != d.id {
		fmt.Fprintf(c, "ERROR MOVED %s\r\n", d.id)
		return
	}
	s.mu.Lock()
	if d.conns >= s.maxConns {
		s.mu.Unlock()
		fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", d.id)
		return
	}
	d.conns++
	pos := d.position()
	s.mu.Unlock()
	defer func() { s.mu.Lock(); d.conns--; s.mu.Unlock() }()
	fmt.Fprintf(c, "READY I %s\r\n", pos)
	state := &session{state: "I", prepared: map[string]string{}}
	for {
		m, err := readMessage(r)
		if err != nil {
			return
		}
		if m == "TERM" {
			return
		}
		f := strings.SplitN(m, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		out := d.run(state, f[1], f[2])
		if _, err := c.Write([]byte(out)); err != nil {
			return
		}
	}
}

// run executes one statement and returns the messages of the reply.
func (d *database) run(st *session, id, text string) string {
	s := d.svc
	if id != "-" {
		s.rec.note("database %s runs  %s  %q", d.id, id, text)
		s.rec.ran(d, id, text)
	}
	var rows []string
	signature, code := "-", ""
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTERLSN "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	mode := word
	if word == "EXECUTE" {
		name, operands, _ := strings.Cut(rest, " ")
		mode, rest = st.prepared[name], operands
		if mode == "" {
			code = "NOSTMT"
		}
	}
	if code == "" && (mode == "READ" || mode == "WRITE" || word == "COMMIT" || word == "STATUS") {
		d.slots <- struct{}{}
		if word != "STATUS" {
			s.mu.Lock()
			work := d.workFor
			s.mu.Unlock()
			time.Sleep(work)
		}
		<-d.slots
	}
	s.mu.Lock()
	if code == "" && after != "" && !d.has(after) {
		code = "LAGGING"
	}
	if code == "" && st.state == "T" && !st.readOnly && (!d.primary || d.term != st.begin) && !(word == "COMMIT" && len(st.writes) == 0) && word != "ROLLBACK" {
		code = "READONLY"
	}
	var acked *commit
	switch {
	case code != "":
	case word == "BEGIN":
		st.readOnly = rest == "READ"
		if !st.readOnly && !d.primary {
			code = "READONLY"
			break
		}
		st.state, st.begin, st.writes, st.ids = "T", d.term, nil, nil
	case word == "COMMIT":
		if st.state != "T" {
			code = "MALFORMED"
			break
		}
		if len(st.writes) > 0 {
			acked = d.append(st.writes, append(st.ids, id))
		}
		st.state, signature = "I", "sig."+d.id+"."+id
	case word == "ROLLBACK":
		st.state, st.writes, st.ids = "I", nil, nil
	case mode == "READ":
		rows = []string{"value " + d.data[rest]}
		signature = "sig." + d.id + "." + id
	case mode == "WRITE":
		if st.state == "I" && !d.primary {
			code = "READONLY"
			break
		}
		item, data, _ := strings.Cut(rest, " ")
		signature = "sig." + d.id + "." + id
		if st.state == "T" {
			st.writes, st.ids = append(st.writes, [2]string{item, data}), append(st.ids, id)
			break
		}
		acked = d.append([][2]string{{item, data}}, []string{id})
	case word == "PARSE":
		f := strings.SplitN(rest, " ", 3)
		if len(f) < 2 {
			code = "MALFORMED"
			break
		}
		st.prepared[f[0]] = f[1]
	case word == "SET" || word == "CLOSE":
	case word == "DISCARD":
		clear(st.prepared)
	case word == "STATUS":
	case word == "PAUSE":
		if t, _ := strconv.ParseUint(rest, 10, 64); t > d.term && !d.primary {
			d.paused = t
		}
	case word == "RESUME":
		d.paused = 0
		d.catchUp()
	case word == "STEPDOWN":
		if t, _ := strconv.ParseUint(rest, 10, 64); t > d.term {
			d.primary = false
		}
	default:
		code = "MALFORMED"
	}
	if code == "" && (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
		role := "replica"
		if d.primary {
			role = "primary"
		}
		rows = []string{fmt.Sprintf("%s %d %s %d 0 0 %d", role, d.term, d.position(), d.paused, d.conns)}
	}
	if code != "" && st.state == "T" && code != "LAGGING" {
		st.state = "E"
	}
	s.mu.Unlock()
	if acked != nil && !d.awaitReplica(acked) {
		return "" // never acknowledged: the connection stays without an answer
	}
	s.mu.Lock()
	pos := d.position()
	s.mu.Unlock()
	var out strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&out, "ROW %s\r\n", row)
	}
	if code != "" {
		fmt.Fprintf(&out, "ERROR %s %s\r\n", code, d.id)
	} else {
		fmt.Fprintf(&out, "COMPLETE %s\r\n", signature)
	}
	fmt.Fprintf(&out, "READY %s %s\r\n", st.state, pos)
	return out.String()
}

// has reports whether the log has a position. svc.mu is held.
func (d *database) has(pos string) bool {
	t, n, _ := strings.Cut(pos, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	if number == 0 {
		return true
	}
	if len(d.log) == 0 {
		return false
	}
	last := d.log[len(d.log)-1]
	return last.number >= number && last.term >= term
}

// append adds a commit to the primary's log and sends it to the replicas. svc.mu is held.
func (d *database) append(items [][2]string, ids []string) *commit {
	c := commit{term: d.term, number: uint64(len(d.log)) + 1, items: items, ids: ids}
	d.log = append(d.log, c)
	d.apply(c)
	time.AfterFunc(replicationLag, func() {
		d.svc.mu.Lock()
		defer d.svc.mu.Unlock()
		for _, m := range d.svc.members {
			m.catchUp()
		}
	})
	return &c
}

func (d *database) apply(c commit) {
	d.svc.rec.committed(d, c)
	for _, item := range c.items {
		d.data[item[0]] = item[1]
	}
}

// catchUp makes a replica receive what it lacks from the primary. svc.mu is held.
func (d *database) catchUp() {
	if d.primary || d.paused != 0 {
		return
	}
	for _, m := range d.svc.members {
		if !m.primary || m.term < d.term {
			continue
		}
		d.term = m.term
		if len(d.log) > len(m.log) {
			d.log = d.log[:len(m.log)]
		}
		for _, c := range m.log[len(d.log):] {
			d.log = append(d.log, c)
			for _, item := range c.items {
				d.data[item[0]] = item[1]
			}
		}
	}
}

// awaitReplica waits until a replica has received the commit.
func (d *database) awaitReplica(c *commit) bool {
	for range 2000 {
		time.Sleep(2 * time.Millisecond)
		d.svc.mu.Lock()
		for _, m := range d.svc.members {
			if m != d && uint64(len(m.log)) >= c.number && m.log[c.number-1].term == c.term {
				d.svc.mu.Unlock()
				return true
			}
		}
		d.svc.mu.Unlock()
	}
	return false
}

// promote makes a database the primary of the next term, some time after the call.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.id != id {
			continue
		}
		if m.primary {
			return true
		}
		time.AfterFunc(promoteTime, func() {
			s.mu.Lock()
			var term uint64
			for _, o := range s.members {
				term = max(term, o.term)
			}
			for _, o := range s.members {
				if o != m && o.primary {
					o.primary = false
				}
				o.paused = 0
			}
			m.primary, m.term = true, term+1
			for _, o := range s.members {
				o.catchUp()
			}
			s.mu.Unlock()
			s.rec.note("promotion: %s leads term %d", id, term+1)
			for _, o := range s.members {
				o.register()
			}
		})
		return true
	}
	return false
}
