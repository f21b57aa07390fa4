package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1200 * time.Millisecond
	replicationLag = 20 * time.Millisecond // of a replica, unless a case sets another
	workTime       = 3 * time.Millisecond
	promoteTime    = time.Second
	// oldPrimaryTime is how long a replaced primary goes on if nobody tells it to step down.
	oldPrimaryTime = time.Second
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
	// onPromoted is called when a promotion takes effect, with svc.mu held.
	onPromoted func(d *database)
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
	primary  bool
	term     uint64
	log      []commit
	paused   uint64
	state    string
	born     int64
	sequence int
	conns    int
	data     map[string]string
	lag      time.Duration
	down     bool
	open     map[net.Conn]bool
}

func (s *service) add(id, zone, address string, primary bool) *database {
	d := &database{svc: s, id: id, zone: zone, primary: primary, term: 1, state: "ready", born: time.Now().UnixMilli(), slots: make(chan struct{}, 2), data: map[string]string{}, lag: replicationLag, open: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fatal("database: %v", err)
	}
	d.listener, d.address = l, l.Addr().String()
	s.mu.Lock()
	s.members = append(s.members, d)
	d.catchUp(math.MaxUint64)
	s.mu.Unlock()
	go d.accept(l)
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
	if d.down {
		s.mu.Unlock()
		return
	}
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

func (d *database) accept(l net.Listener) {
	for {
		c, err := l.Accept()
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
	d.open[c] = true
	pos := d.position()
	s.mu.Unlock()
	defer func() { s.mu.Lock(); d.conns--; delete(d.open, c); s.mu.Unlock() }()
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
			time.Sleep(workTime)
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
		d.catchUp(math.MaxUint64)
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
	for _, m := range d.svc.members {
		if m == d {
			continue
		}
		time.AfterFunc(m.lag, func() {
			d.svc.mu.Lock()
			defer d.svc.mu.Unlock()
			m.catchUp(c.number)
		})
	}
	return &c
}

func (d *database) apply(c commit) {
	d.svc.rec.committed(d, c)
	for _, item := range c.items {
		d.data[item[0]] = item[1]
	}
}

// catchUp makes a replica receive the commits of the primary up to a number. svc.mu is
// held.
func (d *database) catchUp(number uint64) {
	if d.primary || d.paused != 0 || d.down {
		return
	}
	var from *database
	for _, m := range d.svc.members {
		if m.primary && !m.down && m.term >= d.term && (from == nil || m.term > from.term) {
			from = m
		}
	}
	if from == nil {
		return
	}
	if from.term > d.term && len(d.log) > len(from.log) {
		d.log = d.log[:len(from.log)] // rolled back
	}
	d.term = from.term
	for _, c := range from.log[min(len(d.log), len(from.log)):] {
		if c.number > number {
			return
		}
		d.log = append(d.log, c)
		for _, item := range c.items {
			d.data[item[0]] = item[1]
		}
	}
}

// crash ends the process of a database and starts it again, with its log.
func (d *database) crash(downFor time.Duration) {
	d.svc.mu.Lock()
	d.down = true
	_ = d.listener.Close()
	for c := range d.open {
		_ = c.Close()
	}
	d.svc.mu.Unlock()
	d.svc.rec.note("database %s crashes", d.id)
	time.Sleep(downFor)
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		fatal("database: %v", err)
	}
	d.svc.mu.Lock()
	d.listener, d.down, d.paused, d.born = l, false, 0, time.Now().UnixMilli()
	d.catchUp(math.MaxUint64)
	d.svc.mu.Unlock()
	d.svc.rec.note("database %s is back with its log and receives", d.id)
	go d.accept(l)
	d.register()
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
			var old *database
			for _, o := range s.members {
				term = max(term, o.term)
				if o.primary {
					old = o
				}
				o.paused = 0
			}
			m.primary, m.term = true, term+1
			if s.onPromoted != nil {
				s.onPromoted(m)
			}
			for _, o := range s.members {
				o.catchUp(math.MaxUint64)
			}
			s.mu.Unlock()
			s.rec.note("promotion: %s leads term %d", id, term+1)
			m.register()
			time.Sleep(oldPrimaryTime)
			s.mu.Lock()
			if old != nil && old != m {
				old.primary = false
				old.catchUp(math.MaxUint64)
			}
			s.mu.Unlock()
		})
		return true
	}
	return false
}
