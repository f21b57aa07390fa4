package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// answer is the answer to one request of a client.
type answer struct {
	rows      []string
	signature string
	code      string // of an error
	state     string
}

// session is a client's session.
type session struct {
	c      net.Conn
	in     *bufio.Reader
	record *record
}

func connect(address, database, who string, rec *record) (*session, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{c: c, in: bufio.NewReader(c), record: rec}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s %s\r\n", database, who)
	a, err := s.read()
	if err == nil && a.code != "" {
		err = fmt.Errorf("refused: %s", a.code)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.c.Close() }

func (s *session) read() (a answer, err error) {
	for {
		line, err := readLine(s.in)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(string(line), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unknown message %q", line)
		}
	}
}

// query sends one statement and waits for its answer.
func (s *session) query(text string, timeout time.Duration) (id string, a answer, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	s.record.sent(id, text)
	_ = s.c.SetDeadline(time.Now().Add(timeout))
	if _, err = fmt.Fprintf(s.c, "QUERY %s %s\r\n", id, text); err == nil {
		a, err = s.read()
	}
	s.record.answered(id, a, err)
	return id, a, err
}
