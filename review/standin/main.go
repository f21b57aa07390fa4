// Command standin plays one case of the review: it starts the project's program as the
// deploy file says, with stand-ins for the platform, the databases, the operator and the
// clients, and checks one rule. Exit status: 0 the rule held, 1 it was broken, 2 the case
// could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var cleanups []func()

func finish(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	finish(2)
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec       *record
	store     *store
	svc       *service
	instances []*instance
	dir       string
	repo      string
	cloud     string
	storeAddr string
	version   int
	config    func(version int) map[string]any
	// promotion replaces the promotion API if set.
	promotion func(w http.ResponseWriter, r *http.Request, member string)
	bounds    string // further lines of [Bounds]
	// configApply is ConfigApplyMs.
	configApply time.Duration
}

// instance is one process of the project's program.
type instance struct {
	d        *deployment
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	peer     int
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	exitedAt time.Time
	log      *os.File
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

var zones = []string{"catania", "messina", "siracusa"}

func newDeployment(caseDir, repo string, instances, maxConns int) *deployment {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{rec: newRecord(filepath.Join(caseDir, "record.txt")), store: newStore(), dir: dir, repo: repo, configApply: 3 * time.Second}
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	d.storeAddr = fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	d.cloud = fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	d.svc = &service{name: "huvo11a", rec: d.rec, store: d.store, maxConns: maxConns}
	d.config = func(version int) map[string]any {
		return map[string]any{"Version": version,
			"Routes": []map[string]any{
				{"Name": "recall-confirm", "DbName": "recall", "RouteKind": "primary", "Service": d.svc.name, "TimeoutMs": 800, "SloMs": 100, "Priority": 0},
				{"Name": "lot-check", "DbName": "lots", "RouteKind": "read_own", "Service": d.svc.name, "TimeoutMs": 800, "SloMs": 200, "MaxStalenessMs": 2500, "Priority": 1},
			},
			"Services": []map[string]any{{"Name": d.svc.name, "MaxConns": maxConns, "SyncReplicas": 1}},
			"Limits":   map[string]any{"TxIdleMs": 5000}}
	}
	for i := range instances {
		d.newInstance(i)
	}
	return d
}

func (d *deployment) newInstance(i int) *instance {
	ip := fmt.Sprintf("127.0.%d.%d", 10+i%3, 10+i/3)
	n := &instance{d: d, name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: ip}
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	n.peer = freePort(ip)
	n.settings = filepath.Join(d.dir, n.name+".toml")
	d.instances = append(d.instances, n)
	return n
}

// publish stores the next version of the configuration.
func (d *deployment) publish() time.Time {
	d.version += 3
	d.store.put("op", "config", d.config(d.version))
	d.rec.note("operator: configuration %d is acknowledged", d.version)
	return time.Now()
}

// start starts the platform, the databases and the instances, and waits until all are ready.
func (d *deployment) start() {
	d.store.serve(d.storeAddr)
	l, err := net.Listen("tcp", d.cloud)
	if err != nil {
		fatal("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, Id string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		d.rec.note("promotion of %s by %s with token %s", body.Id, r.Header.Get("X-Papayarail-Duty-Holder"), r.Header.Get("X-Papayarail-Fencing-Token"))
		if d.promotion != nil {
			d.promotion(w, r, body.Id)
			return
		}
		if !d.svc.promote(body.Id) {
			w.WriteHeader(http.StatusConflict)
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	for i, zone := range zones {
		d.svc.add(fmt.Sprintf("i-%d%d%d", i+1, i+1, i+1), zone, fmt.Sprintf("127.0.%d.5:0", 10+i), i == 0)
	}
	d.publish()
	for _, n := range d.instances {
		n.start(true)
	}
	for _, n := range d.instances {
		n.awaitReady(15 * time.Second)
	}
	time.Sleep(2 * time.Second)
}

func (n *instance) writeSettings(first bool, store string) {
	d := n.d
	text := fmt.Sprintf(`Node = %q
Role = "instance"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "sicilia-est"
PortRange = [%d,%d]
FirstStart = %v
HeartbeatMs = 1200
[Zones]
catania = "sicilia-est"
messina = "sicilia-est"
siracusa = "sicilia-est"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4300
LinkMbps = 1000.0
[Bounds]
ContactMs = 4000
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = %d
RollbackSlackMs = 250
%s[platform]
Address = %q
[CloudApi]
Address = %q
`, n.name, n.ip, n.zone, n.peer, n.peer+1, first, n.front, n.ready, d.configApply.Milliseconds(), d.bounds, store, d.cloud)
	temporary := n.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		fatal("%v", err)
	}
	if err := os.Rename(temporary, n.settings); err != nil {
		fatal("%v", err)
	}
}

func (n *instance) start(first bool) {
	n.writeSettings(first, n.d.storeAddr)
	n.startAsIs()
}

func (n *instance) startAsIs() {
	n.cmd = exec.Command(filepath.Join(n.d.repo, "target", "papayarail-instance"))
	n.cmd.Dir = n.d.repo
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYARAIL_CONFIG=" + n.settings, "GOMAXPROCS=1"}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if n.log, err = os.Create(filepath.Join(n.d.dir, n.name+".log")); err != nil {
		fatal("%v", err)
	}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		fatal("%v", err)
	}
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	cleanups = append(cleanups, func() { _ = cmd.Process.Kill(); <-exited })
	go func() { _ = cmd.Wait(); n.exitedAt = time.Now(); close(exited) }()
}

func (n *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (n *instance) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return
		}
	}
	log, _ := os.ReadFile(filepath.Join(n.d.dir, n.name+".log"))
	fatal("%s is not ready\n%s", n.name, log)
}

func (n *instance) signal(s syscall.Signal) {
	n.d.rec.note("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// client is one session of a client.
type client struct {
	c    net.Conn
	r    *bufio.Reader
	rec  *record
	name string
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)*0x9e3779b97f4a7c15) }

// reply is the reply to one statement.
type reply struct {
	rows            []string
	signature, code string
	state, position string
	err             error // the connection ended or nothing came in time
}

func (r reply) String() string {
	switch {
	case r.err != nil:
		return "no complete answer: " + r.err.Error()
	case r.code != "":
		return "ERROR " + r.code + ", state " + r.state
	default:
		return fmt.Sprintf("COMPLETE %s rows %q, state %s", r.signature, r.rows, r.state)
	}
}

func (r reply) ok() bool { return r.err == nil && r.code == "" }

func connect(n *instance, db, key string) (*client, error) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return nil, err
	}
	k := &client{c: c, r: bufio.NewReader(c), rec: n.d.rec, name: c.LocalAddr().String() + " at " + n.name}
	fmt.Fprintf(c, "STARTUP %s %s\r\n", db, key)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	m, err := readMessage(k.r)
	if err != nil || !strings.HasPrefix(m, "READY") {
		c.Close()
		return nil, fmt.Errorf("startup: %q %v", m, err)
	}
	return k, nil
}

func (k *client) send(id, text string) {
	k.rec.note("client %s sends %s  %q", k.name, id, text)
	fmt.Fprintf(k.c, "QUERY %s %s\r\n", id, text)
}

func (k *client) read(limit time.Duration) (r reply) {
	_ = k.c.SetReadDeadline(time.Now().Add(limit))
	for {
		m, err := readMessage(k.r)
		if err != nil {
			r.err = err
			return r
		}
		word, rest, _ := strings.Cut(m, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, r.position, _ = strings.Cut(rest, " ")
			return r
		}
	}
}

// query sends one statement and returns its reply.
func (k *client) query(text string) (string, reply) {
	id := newID()
	k.send(id, text)
	r := k.read(3 * time.Second)
	k.rec.note("client %s gets   %s  %s", k.name, id, r)
	return id, r
}

// drop ends the session.
func (k *client) drop() { _ = k.c.Close() }

// verdict prints the result and ends the process.
func verdict(d *deployment, broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.rec.note("result: %s", text)
	fmt.Println(text)
	if broken {
		finish(1)
	}
	finish(0)
}

func main() {
	if len(os.Args) != 4 {
		fatal("usage: standin CASE FOLDER REPOSITORY")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := cases[os.Args[1]]
	if !ok {
		fatal("no case %s", os.Args[1])
	}
	time.AfterFunc(115*time.Second, func() { fatal("the case took too long") })
	play(os.Args[2], os.Args[3], trouble)
}
