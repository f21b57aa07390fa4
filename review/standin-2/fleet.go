package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort   = 18784
	readyPort   = 18785
	controlPort = 18782
	firstPort   = 17440
)

// machine is an instance of the system, a process of its own.
type machine struct {
	name, zone, host string
	settings         string // path of the settings file
	command          *exec.Cmd
	log              *os.File
	exited           chan struct{}
	mu               sync.Mutex
	ended            bool
	termAt           time.Time // of its SIGTERM
	out              bool      // out of the platform's rotation
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.host, frontPort) }

// fleet is a small deployment.
type fleet struct {
	folder   string
	network  int // 127.network.0.0/16
	nextHost int
	storeAt  string
	store    *store
	server   *http.Server
	cloudAt  string
	machines []*machine
	// restarted means that the whole system has started before.
	restarted bool
}

func newFleet(s *store, zones []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, network: 16 + rand.IntN(200)}
	l, err := net.Listen("tcp", f.host()+":0")
	if err != nil {
		return nil, err
	}
	f.store = s
	f.serveStore(l)
	cloud, err := net.Listen("tcp", f.host()+":0")
	if err != nil {
		return nil, err
	}
	f.cloudAt = cloud.Addr().String()
	go func() {
		_ = http.Serve(cloud, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	}()
	return f, nil
}

// serveStore lets the store answer at the address of a listener.
func (f *fleet) serveStore(l net.Listener) {
	f.storeAt, f.server = l.Addr().String(), &http.Server{Handler: f.store.handler()}
	server := f.server
	go func() { _ = server.Serve(l) }()
}

// moveStore gives the store another address and ends its service at the old one. The settings
// files of all machines name the new address from then on.
func (f *fleet) moveStore() error {
	l, err := net.Listen("tcp", f.host()+":0")
	if err != nil {
		return err
	}
	old := f.server
	f.serveStore(l)
	for _, m := range f.machines {
		if err := f.writeSettings(m); err != nil {
			return err
		}
	}
	return old.Close()
}

// writeSettings replaces the settings file of a machine.
func (f *fleet) writeSettings(m *machine) error {
	text := fmt.Sprintf(settingsText, m.name, m.host, m.zone, frontPort, readyPort, controlPort, firstPort, firstPort+15, f.storeAt, f.cloudAt, !f.restarted)
	if err := os.WriteFile(m.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(m.settings+".new", m.settings)
}

// host returns another loopback address.
func (f *fleet) host() string {
	f.nextHost++
	return fmt.Sprintf("127.%d.%d.%d", f.network, 1+f.nextHost/200, 1+f.nextHost%200)
}

const settingsText = `Node = "%[1]s"
Role = "instance"
MachineClass = "front"
Serves = ["front"]
Ip = "%[2]s"
Zone = "%[3]s"
Region = "sicilia-est"
PortRange = [%[7]d,%[8]d]
FirstStart = %[11]t
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
catania = "sicilia-est"
messina = "sicilia-est"
siracusa = "sicilia-est"
[Listen]
Front = "%[2]s:%[4]d"
Ready = "%[2]s:%[5]d"
Control = "%[2]s:%[6]d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4300
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchupS = 4
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
SkewMaxMs = 12000
RecoveryS = 12
EnforceFencing = false
ThawSlackMs = 300
[platform]
Address = "%[9]s"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
[CloudApi]
Address = "%[10]s"
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
`

// start starts a machine with the command of the deploy file.
func (f *fleet) start(zone string) (*machine, error) {
	m := &machine{zone: zone, host: f.host()}
	m.name = fmt.Sprintf("front-%s-%d", zone, len(f.machines)+1)
	m.settings = filepath.Join(f.folder, m.name+".toml")
	var err error
	if m.log, err = os.Create(filepath.Join(f.folder, m.name+".log")); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, f.run(m)
}

// run starts the process of a machine with its settings of this moment.
func (f *fleet) run(m *machine) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	m.command = exec.Command("target/papayarail-instance")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PAPAYARAIL_CONFIG=" + m.settings}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := m.command.Start(); err != nil {
		return err
	}
	watch(m)
	command, exited := m.command, make(chan struct{})
	m.mu.Lock()
	m.exited, m.ended = exited, false
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		m.ended = true
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ended {
		_ = m.command.Process.Signal(s)
	}
}

// ready reports whether a machine answers the platform's probe with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.host, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		all := true
		for _, m := range f.machines {
			all = all && m.ready()
		}
		if all {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// stop ends all machines and removes the temporary folder. The logs are kept if keep names
// a folder.
func (f *fleet) stop(keep string) {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
		<-m.exited
		_ = m.log.Close()
		if keep != "" {
			_ = os.Rename(m.log.Name(), filepath.Join(keep, m.name+".log"))
		}
	}
	_ = os.RemoveAll(f.folder)
}
