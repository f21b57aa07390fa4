package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/instance/settings"
	"github.com/papayarail/papayarail/standin/dbgroup"
)

// runMainEnv is the environment variable that makes the test binary run papayarail,
// so that tests start the program that they were built with.
const runMainEnv = "PAPAYARAIL_TEST_MAIN"

// testTimeout ends a test whose condition never holds. No result depends on its value.
const testTimeout = 90 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const service = "registro-lotti-1"

var domains = []string{"catania", "messina", "siracusa"}

// cluster is a deployment of separate processes: a platform, one service with three
// members, and at least one instance in each failure domain.
type cluster struct {
	t        *testing.T
	dir      string
	document *fleet.Document
	platform string
	network  *network
	// instances holds a key for each instance: the name of its failure domain, with
	// the suffix "-2" for a second instance.
	instances []string
	settings  map[string]*settings.Settings
	faults    map[string]string // address of the fault interface, by member or "platform"

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

func newCluster(t *testing.T, extraInstances ...string) *cluster {
	c := &cluster{
		instances: domains,
		t:         t,
		dir:       t.TempDir(),
		settings:  make(map[string]*settings.Settings),
		faults:    make(map[string]string),
		processes: make(map[string]*exec.Cmd),
		network:   newNetwork(t),
	}
	t.Cleanup(c.stop)
	c.document = &fleet.Document{
		Deployment:     "colle-trinacria-adesivi",
		FailureDomains: domains,
		Ranks: map[fleet.Rank]fleet.RankGoal{
			"urgent": {TargetMS: 500}, "middle": {TargetMS: 1000, FloorPercent: 10}, "least": {TargetMS: 2000, FloorPercent: 2},
		},
	}
	c.instances = append(c.instances[:len(domains):len(domains)], extraInstances...)
	for _, name := range c.instances {
		domain := domainOf(name)
		c.document.Instances = append(c.document.Instances, fleet.Instance{Name: instanceName(name), FailureDomain: domain, State: fleet.Active})
	}
	c.platform = freeAddress(t)
	c.faults["platform"] = freeAddress(t)
	c.start("platform", "standin", "platform", "-address", c.platform, "-fault-address", c.faults["platform"])
	platformAddress := c.network.forward("platform", c.platform)
	c.startMembers()
	c.applyDocument("0")
	c.startInstances("http://" + platformAddress)
	return c
}

func (c *cluster) startMembers() {
	s := fleet.Service{Name: service, DependsOn: []string{}, DefaultRank: "middle", MaxStalenessMS: 5000}
	var addresses []string
	for _, d := range domains {
		address := freeAddress(c.t)
		addresses = append(addresses, address)
		s.Databases = append(s.Databases, fleet.Database{
			Name: service + "-" + d, Address: c.network.forward(d, address), FailureDomain: d, Connections: 15, Slots: 2, State: fleet.Active,
		})
	}
	c.document.Services = []fleet.Service{s}
	for _, memberConfig := range dbgroup.GroupConfigs(service, domains, addresses) {
		memberConfig.FaultAddress = freeAddress(c.t)
		c.faults[memberConfig.Name] = memberConfig.FaultAddress
		c.start(memberConfig.Name, "standin", "member", "-config", c.writeJSONFile(memberConfig.Name, memberConfig))
	}
}

func (c *cluster) startInstances(platform string) {
	for _, name := range c.instances {
		d := domainOf(name)
		s := &settings.Settings{
			Name: instanceName(name), FailureDomain: d, LogLevel: "info",
			CallerAddress: freeAddress(c.t), PeerAddress: freeAddress(c.t), OperatorAddress: freeAddress(c.t),
			Platform:      settings.Platform{TableURL: platform, ObjectURL: platform, Table: "papayarail", Bucket: "papayarail"},
			SourceAddress: sourceAddresses[d],
		}
		s.AdvertisedPeerAddress = c.network.forward(d, s.PeerAddress)
		c.settings[name] = s
	}
	for _, name := range c.instances {
		for _, other := range c.instances {
			if other != name {
				c.settings[name].SeedPeers = append(c.settings[name].SeedPeers, c.settings[other].Advertised())
			}
		}
		c.startInstance(name)
	}
	for _, name := range c.instances {
		c.awaitDump(name, func(n *node.Dump) bool { return len(n.Peers) == len(c.instances)-1 && len(n.Routes) == 1 })
	}
}

func domainOf(name string) string { return strings.TrimSuffix(name, "-2") }

func instanceName(name string) string {
	if domainOf(name) != name {
		return name
	}
	return name + "-1"
}

// startInstance starts the process of an instance.
func (c *cluster) startInstance(name string) {
	c.start(name, "serve", "-config", c.writeJSONFile(name, c.settings[name]))
}

func (c *cluster) writeJSONFile(name string, content any) string {
	data, err := json.Marshal(content)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// cliCommand returns a command that runs papayarail with the arguments.
func cliCommand(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	return cmd
}

func (c *cluster) start(name string, args ...string) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	assert.NilError(c.t, err)
	cmd := cliCommand(context.Background(), args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(c.t, cmd.Start())
	log.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = cmd
}

// signal sends a signal to the process with that name.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.NilError(c.t, c.processes[name].Process.Signal(s))
}

// kill ends the process with SIGKILL.
func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.processes[name].Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.processes, name)
}

// wait waits for a process that ends by itself and returns its exit error.
func (c *cluster) wait(name string) error {
	c.mu.Lock()
	cmd := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	return cmd.Wait()
}

func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	c.checkLogs()
	if c.t.Failed() {
		c.printLogs()
	}
}

// checkLogs checks that instances log JSON lines only.
func (c *cluster) checkLogs() {
	for _, name := range c.instances {
		data, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
			if len(line) > 0 && !json.Valid(line) {
				c.t.Errorf("log of %s: not JSON: %s", name, line)
			}
		}
	}
}

func (c *cluster) printLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		c.t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-4000):])
	}
}

// runCLI runs a subcommand of papayarail and waits for its end.
func runCLI(args ...string) (stdout, stderr string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := cliCommand(ctx, args...)
	var stdoutBuf, stderrBuf bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdoutBuf, &stderrBuf
	err = cmd.Run()
	return stdoutBuf.String(), stderrBuf.String(), err
}

// applyDocument puts the cluster's document in force in place of a revision.
func (c *cluster) applyDocument(revision string) {
	file := c.writeJSONFile("document", c.document)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, stderr, err := runCLI("apply", "-platform", "http://"+c.platform, "-revision", revision, file)
		if err != nil {
			return poll.Continue("apply: %v: %s", err, stderr)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(50*time.Millisecond))
}

func (c *cluster) dump(domain string) (*node.Dump, error) {
	r, err := http.Get("http://" + c.settings[domain].OperatorAddress + "/dump")
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	d := &node.Dump{}
	return d, json.NewDecoder(r.Body).Decode(d)
}

func (c *cluster) awaitDump(domain string, ok func(*node.Dump) bool) *node.Dump {
	var last *node.Dump
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		d, err := c.dump(domain)
		if err != nil {
			return poll.Continue("dump of %s: %v", domain, err)
		}
		last = d
		if !ok(d) {
			return poll.Continue("dump of %s: peers %d, routes %v, revision %d", domain, len(d.Peers), d.Routes, d.Revision)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
	return last
}

// primary returns the primary according to the instance of a failure domain.
func (c *cluster) primary(domain string) string {
	d := c.awaitDump(domain, func(d *node.Dump) bool { return len(d.Routes) == 1 })
	return string(d.Routes[0].Primary)
}

// connect opens a session at the instance of a failure domain.
func (c *cluster) connect(domain string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", c.settings[domain].CallerAddress, service))
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// execUntilSuccess repeats a statement until it succeeds.
func (c *cluster) execUntilSuccess(conn *pgx.Conn, sql string, args ...any) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, err := conn.Exec(context.Background(), sql, args...)
		if err != nil {
			return poll.Continue("%s: %v", sql, err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

var (
	portMu   sync.Mutex
	nextPort = 21000 + os.Getpid()%300*30
)

// freeAddress returns a loopback address with a port below the ephemeral range, so that
// no outgoing connection takes the port before the process listens on it.
func freeAddress(t *testing.T) string {
	portMu.Lock()
	defer portMu.Unlock()
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

// setFaults changes the injected faults of a member or of the platform.
func (c *cluster) setFaults(process string, change map[string]any) {
	data, err := json.Marshal(change)
	assert.NilError(c.t, err)
	r, err := http.Post("http://"+c.faults[process]+"/fault", "application/json", bytes.NewReader(data))
	assert.NilError(c.t, err)
	r.Body.Close()
	assert.Assert(c.t, r.StatusCode < http.StatusMultipleChoices, r.Status)
}

// runWriter inserts batches until stop is closed, and connects to the instance of
// nextDomain when the session ends.
func (c *cluster) runWriter(h *writeHistory, nextDomain string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if h.conn.IsClosed() {
			h.conn = c.connect(nextDomain)
		}
		h.insertBatch()
		c.mu.Lock()
		h.attempts++
		c.mu.Unlock()
	}
}

// startWriters starts two writers per instance and returns when each has made 20
// attempts. Writers whose instance stops continue at the instance of Siracusa.
func (c *cluster) startWriters(instances ...string) (histories []*writeHistory, finish func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 2 * len(instances) {
		name := instances[i%len(instances)]
		h := &writeHistory{conn: c.connect(name), name: fmt.Sprintf("%s-%d", name, i)}
		histories = append(histories, h)
		wg.Go(func() { c.runWriter(h, "siracusa", stop) })
	}
	for _, h := range histories {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if c.attemptCount(h) < 20 {
				return poll.Continue("waiting for 20 attempts of each writer")
			}
			return poll.Success()
		}, poll.WithTimeout(testTimeout))
	}
	return histories, func() {
		close(stop)
		wg.Wait()
	}
}

func (c *cluster) attemptCount(h *writeHistory) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.attempts
}
