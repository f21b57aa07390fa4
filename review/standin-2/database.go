package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots         = 2
	queuedAtMost  = 16
	connectTime   = 12 * time.Millisecond
	statementTime = 3 * time.Millisecond
	replicaLag    = 20 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	maxMessage    = 1 << 20
)

type commit struct {
	writes [][2]string
	at     time.Time
}

// cluster is a service with one primary and two replicas. The primary never changes. A
// replica receives a commit at once and applies it after replicaLag.
type cluster struct {
	store       *store
	connections int // MaxConns
	record      *record

	mu   sync.Mutex
	log  []commit
	all  []*database
	done chan struct{}
}

type database struct {
	c        *cluster
	id, zone string
	primary  bool
	address  string
	born     int64
	slots    chan struct{}

	mu     sync.Mutex
	open   int
	queued int
	paused int // term
	held   int // log length at the pause
}

func startCluster(s *store, rec *record, zones []string, connections int, host func() string) (*cluster, error) {
	c := &cluster{store: s, record: rec, connections: connections, done: make(chan struct{})}
	for i, zone := range zones {
		l, err := net.Listen("tcp", host()+":0")
		if err != nil {
			return nil, err
		}
		d := &database{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, primary: i == 0, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
		c.all = append(c.all, d)
		go d.serve(l)
		go d.beat()
	}
	return c, nil
}

func (d *database) role() string {
	if d.primary {
		return "primary"
	}
	return "replica"
}

// beat registers the database in the store.
func (d *database) beat() {
	for sequence := 1; ; sequence++ {
		d.c.store.put("servers", d.id, map[string]any{"Service": serviceName, "Address": d.address, "Zone": d.zone, "Version": "v1", "Slots": slots,
			"State": "ready", "ColdLeftMs": 0, "DbRole": d.role(), "Sequence": sequence, "born": d.born})
		select {
		case <-d.c.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (d *database) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.session(c)
	}
}

// received and applied return the lengths of the database's log.
func (d *database) received() int {
	d.c.mu.Lock()
	n := len(d.c.log)
	d.c.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused > 0 {
		return d.held
	}
	return n
}

func (d *database) applied() int {
	n := d.received()
	if d.primary {
		return n
	}
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for n > 0 && time.Since(d.c.log[n-1].at) < replicaLag {
		n--
	}
	return n
}

func (d *database) position() string { return positionText(1, d.applied()) }

// connection is a session of a caller at a database.
type connection struct {
	d        *database
	out      *bufio.Writer
	values   map[string]string
	prepared map[string]string
	state    string // I, T or E
	readOnly bool
	writes   [][2]string
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return nil, err
		case bytes.HasSuffix(line, []byte("\r\n")):
			return line[:len(line)-2], nil
		case len(line) > maxMessage+2:
			return nil, fmt.Errorf("message is too long")
		}
	}
}

func (d *database) session(c net.Conn) {
	defer func() { _ = c.Close() }()
	in, out := bufio.NewReaderSize(c, 4096), bufio.NewWriterSize(c, 4096)
	startup, err := readLine(in)
	if err != nil {
		return
	}
	fields := strings.SplitN(string(startup), " ", 4)
	d.mu.Lock()
	full := d.open >= d.c.connections
	d.mu.Unlock()
	refusal := ""
	switch {
	case len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != serviceName || len(fields) == 4 && fields[3] != d.id:
		refusal = "ERROR MOVED " + d.id
	case full:
		refusal = "ERROR CONNLIMIT " + d.id
	}
	if refusal != "" {
		_, _ = out.WriteString(refusal + "\r\n")
		_ = out.Flush()
		return
	}
	d.mu.Lock()
	d.open++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open--
	}()
	d.slots <- struct{}{}
	time.Sleep(connectTime)
	<-d.slots
	s := &connection{d: d, out: out, values: make(map[string]string), prepared: make(map[string]string), state: "I"}
	s.ready()
	for {
		if out.Flush() != nil {
			return
		}
		line, err := readLine(in)
		if err != nil || string(line) == "TERM" {
			return
		}
		fields := strings.SplitN(string(line), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			s.fail("MALFORMED", "message")
			continue
		}
		s.query(fields[1], fields[2])
	}
}

func (s *connection) ready() { fmt.Fprintf(s.out, "READY %s %s\r\n", s.state, s.d.position()) }

func (s *connection) fail(code, text string) {
	if s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, text)
	s.ready()
}

func (s *connection) complete(rows ...string) {
	for _, r := range rows {
		fmt.Fprintf(s.out, "ROW %s\r\n", r)
	}
	fmt.Fprintf(s.out, "COMPLETE -\r\n")
	s.ready()
}

// sign completes a statement with a signature.
func (s *connection) sign(rows ...string) {
	for _, r := range rows {
		fmt.Fprintf(s.out, "ROW %s\r\n", r)
	}
	fmt.Fprintf(s.out, "COMPLETE 7.%s.%08x\r\n", s.d.id, rand.Uint32())
	s.ready()
}

// slot executes f in one of the slots, and reports false if the queue is full.
func (s *connection) slot(work time.Duration, f func()) bool {
	d := s.d
	d.mu.Lock()
	if d.queued >= queuedAtMost+slots {
		d.mu.Unlock()
		return false
	}
	d.queued++
	d.mu.Unlock()
	d.slots <- struct{}{}
	time.Sleep(work)
	f()
	<-d.slots
	d.mu.Lock()
	d.queued--
	d.mu.Unlock()
	return true
}

func (s *connection) query(id, text string) {
	d := s.d
	if rest, ok := strings.CutPrefix(text, "AFTERLSN "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		n, err := strconv.Atoi(number)
		if err != nil || term != "1" && term != "0" || n > d.applied() {
			s.fail("LAGGING", d.id)
			return
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		s.fail("MALFORMED", "the transaction has failed")
		return
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(word, rest)
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		s.complete()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete()
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete()
	case "CLOSE":
		delete(s.prepared, rest)
		s.complete()
	case "BEGIN":
		if s.state != "I" {
			s.fail("MALFORMED", "a transaction is open")
			return
		}
		s.readOnly = rest == "READ"
		if !s.readOnly && !d.primary {
			s.fail("READONLY", d.id)
			return
		}
		s.state, s.writes = "T", nil
		s.complete()
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		s.complete()
	case "COMMIT":
		s.commit(id)
	case "READ", "WRITE", "EXECUTE":
		s.statement(id, word, rest, text)
	default:
		s.fail("MALFORMED", "unknown statement")
	}
}

func (s *connection) control(word, rest string) {
	d := s.d
	term, _ := strconv.Atoi(rest)
	received := d.received()
	d.mu.Lock()
	switch {
	case word == "PAUSE" && term > 1 && !d.primary && d.paused == 0:
		d.paused, d.held = term, received
	case word == "RESUME":
		d.paused = 0
	}
	paused, open, busy := d.paused, d.open, d.queued
	d.mu.Unlock()
	ok := s.slot(500*time.Microsecond, func() {})
	if !ok {
		s.fail("BUSY", d.id)
		return
	}
	s.complete(fmt.Sprintf("%s 1 %s %d 0 %d %d", d.role(), positionText(1, d.received()), paused, busy, open))
}

func (s *connection) commit(id string) {
	if s.state != "T" {
		s.state, s.writes = "I", nil
		s.fail("ABORTED", s.d.id)
		return
	}
	ok := s.slot(statementTime, func() {
		s.d.append(s.writes)
		s.d.c.record.run(id, "COMMIT", s.values, nil)
	})
	s.state, s.writes = "I", nil
	if !ok {
		s.fail("BUSY", s.d.id)
		return
	}
	s.sign()
}

// append adds a commit to the log.
func (d *database) append(writes [][2]string) {
	if len(writes) == 0 {
		return
	}
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	d.c.log = append(d.c.log, commit{writes, time.Now()})
}

func (s *connection) statement(id, word, rest, text string) {
	d, writes := s.d, word == "WRITE"
	if word == "EXECUTE" {
		name, operands, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT", name)
			return
		}
		// The system may rename prepared statements, so that their definition counts.
		text = "EXECUTE (" + shape + ") " + operands
		writes, rest = strings.HasPrefix(shape, "WRITE "), operands
	}
	if writes && (!d.primary || s.readOnly && s.state == "T") {
		s.fail("READONLY", d.id)
		return
	}
	item, data, _ := strings.Cut(rest, " ")
	var rows []string
	ok := s.slot(statementTime, func() {
		switch {
		case !writes:
			rows = d.read(item, s.writes)
		case s.state == "T":
			s.writes = append(s.writes, [2]string{item, data})
		default:
			d.append([][2]string{{item, data}})
		}
		d.c.record.run(id, text, s.values, rows)
	})
	if !ok {
		s.fail("BUSY", d.id)
		return
	}
	s.sign(rows...)
}

// read returns the data of an item.
func (d *database) read(item string, own [][2]string) []string {
	n := d.applied()
	value := "none"
	d.c.mu.Lock()
	for _, c := range d.c.log[:n] {
		for _, w := range c.writes {
			if w[0] == item {
				value = w[1]
			}
		}
	}
	d.c.mu.Unlock()
	for _, w := range own {
		if w[0] == item {
			value = w[1]
		}
	}
	return []string{value}
}
