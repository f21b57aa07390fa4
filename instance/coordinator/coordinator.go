package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/wire/group"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	suspectAfter  = 600 * time.Millisecond  // of failed new connections to the primary
	stalledAfter  = 1500 * time.Millisecond // without a quorum that confirms the primary's log
	stepTimeout   = 500 * time.Millisecond  // of one step of a failover
	// maxSuspectTickInterval bounds the time between two ticks while the service has
	// no healthy primary, because NextTick does not include the end of suspectAfter.
	maxSuspectTickInterval = 50 * time.Millisecond
	// minTickInterval prevents a busy loop while the machine's next tick is already
	// due.
	minTickInterval = time.Millisecond
)

// Reserver decides at the platform which of several coordinators may start a term.
type Reserver interface {
	// Reserve reserves a term of the service for one attempt.
	Reserve(ctx context.Context, service string, term uint64, attempt string) failover.ReserveOutcome
}

// Config describes the coordinator of one service.
type Config struct {
	Instance    string
	Incarnation uint64 // of the instance's process
	Service     *fleet.Service
	Now         func() time.Duration // the instance's monotonic clock
	Source      netip.Addr           // local address of connections; may be unset
	Reserver    Reserver
	// Quiesce asks the owner of the primary to refuse new writes for the time of limit.
	Quiesce func(ctx context.Context, service, primary string, limit time.Duration) error
	// Announce is called with each new route that this coordinator establishes.
	Announce func(failover.Route)
	Log      *logrus.Entry
}

// Coordinator detects the failure of one service's primary and performs the failover
// while it is active. Each instance keeps a coordinator for every service of the
// fleet, so an inactive one has no timer and no goroutine, and no state machine
// before its first activation. It only keeps what the machine needs to know: the
// latest route and the number of live instances.
type Coordinator struct {
	cfg Config
	ctx context.Context

	// activation serializes SetActive, so that the last call determines the state.
	activation sync.Mutex

	mu              sync.Mutex
	machine         *failover.Coordinator // nil before the first activation
	members         map[failover.MemberID]*databaseClient
	active          bool
	timer           *time.Timer    // for the machine's next tick; nil while inactive
	stopContextWait func() bool    // ends the wait for the end of ctx
	route           failover.Route // with the highest term; valid if hasRoute is set
	hasRoute        bool
	liveInstances   map[string]int // number by failure domain
}

// New returns an inactive coordinator. The end of ctx deactivates it.
func New(ctx context.Context, cfg Config) *Coordinator { return &Coordinator{cfg: cfg, ctx: ctx} }

// buildMachine creates the state machine and the clients of the members. c.mu must be
// held.
func (c *Coordinator) buildMachine() {
	cfg := c.cfg
	c.members = make(map[failover.MemberID]*databaseClient)
	var members []failover.Member
	for _, db := range cfg.Service.Databases {
		id := failover.MemberID(db.Name)
		members = append(members, failover.Member{ID: id, FailureDomain: db.FailureDomain})
		c.members[id] = &databaseClient{
			id:              id,
			address:         db.Address,
			service:         cfg.Service.Name,
			source:          cfg.Source,
			applicationName: fmt.Sprintf("papayarail/%s/%s/control", cfg.Instance, strconv.FormatUint(cfg.Incarnation, 36)),
		}
	}
	c.machine = failover.New(failover.Config{
		Service:       cfg.Service.Name,
		Members:       members,
		Instance:      cfg.Instance,
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
		SuspectAfter:  suspectAfter,
		StalledAfter:  stalledAfter,
		StepTimeout:   stepTimeout,
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, cfg.Now())
	c.machine.SetLiveInstances(c.liveInstances)
}

// SetActive activates or deactivates the coordinator. The placement activates it on
// one instance.
func (c *Coordinator) SetActive(active bool) {
	c.activation.Lock()
	defer c.activation.Unlock()
	if c.Active() == active {
		return
	}
	if active {
		c.activate()
		return
	}
	c.deactivate()
}

func (c *Coordinator) activate() {
	c.mu.Lock()
	if c.machine == nil {
		c.buildMachine()
	}
	c.active = true
	c.stopContextWait = context.AfterFunc(c.ctx, func() { c.SetActive(false) })
	c.mu.Unlock()
	c.applyEvent(func(now time.Duration) []failover.Action {
		if c.hasRoute {
			c.machine.LearnRoute(c.route, now)
		}
		return c.machine.SetActive(true, now)
	})
}

func (c *Coordinator) deactivate() {
	c.mu.Lock()
	c.active = false
	c.stopContextWait()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.mu.Unlock()
	c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.SetActive(false, now) })
	c.closeMembers()
}

// LearnRoute records a route that a peer announced. The route with the highest term
// is kept for the next activation.
func (c *Coordinator) LearnRoute(r failover.Route) {
	c.storeRoute(r)
	c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.LearnRoute(r, now) })
}

// storeRoute keeps a route of the service if it has a higher term than the one kept.
func (c *Coordinator) storeRoute(r failover.Route) {
	isMember := func(db fleet.Database) bool { return db.Name == string(r.Primary) }
	if r.Service != c.cfg.Service.Name || !slices.ContainsFunc(c.cfg.Service.Databases, isMember) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRoute || r.Term > c.route.Term {
		c.route, c.hasRoute = r, true
	}
}

// ReplacePrimary replaces the primary if it is the named member, which is leaving.
func (c *Coordinator) ReplacePrimary(name string) {
	c.applyEvent(func(now time.Duration) []failover.Action {
		return c.machine.SetLeaving(failover.MemberID(name), now)
	})
}

// SetLiveInstances sets the number of live instances by failure domain, which decides
// between otherwise equal candidates.
func (c *Coordinator) SetLiveInstances(live map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveInstances = live
	if c.machine != nil {
		c.machine.SetLiveInstances(live)
	}
}

// Active reports whether this instance coordinates the service.
func (c *Coordinator) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *Coordinator) closeMembers() {
	for _, m := range c.members {
		go m.close()
	}
}

// applyEvent applies f to the state machine, if there is one, starts the resulting
// actions, and sets the timer for the next tick.
func (c *Coordinator) applyEvent(f func(now time.Duration) []failover.Action) {
	c.mu.Lock()
	if c.machine == nil {
		c.mu.Unlock()
		return
	}
	now := c.cfg.Now()
	actions := f(now)
	if c.active {
		c.setTimer(now)
	}
	c.mu.Unlock()
	for _, a := range actions {
		go c.perform(a)
	}
}

// setTimer sets the timer for the machine's next tick. c.mu must be held.
func (c *Coordinator) setTimer(now time.Duration) {
	wait := max(c.machine.NextTick()-now, minTickInterval)
	if c.machine.State() != failover.Watching {
		wait = min(wait, maxSuspectTickInterval)
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.tick)
		return
	}
	c.timer.Reset(wait)
}

func (c *Coordinator) tick() {
	c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.Tick(now) })
}

// perform performs an action and reports its result to the machine.
func (c *Coordinator) perform(a failover.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, stepTimeout)
	defer cancel()
	switch a := a.(type) {
	case failover.Probe:
		c.probe(a)
	case failover.Reserve:
		outcome := c.cfg.Reserver.Reserve(ctx, c.cfg.Service.Name, a.Term, a.Attempt)
		c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.Reserved(a.Term, outcome, now) })
	case failover.Adopt:
		c.adopt(ctx, a)
	case failover.Promote:
		err := c.members[a.Member].promote(ctx, a.Term, a.Attempt)
		c.logStep("promote", a.Member, a.Term, err)
		c.applyEvent(func(now time.Duration) []failover.Action {
			return c.machine.Promoted(a.Member, err == nil, a.Term, now)
		})
	case failover.Follow:
		err := c.members[a.Member].follow(ctx, a.Term, c.members[a.Primary])
		c.logStep("follow", a.Member, a.Term, err)
		c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.Followed(a.Member, err == nil, now) })
	case failover.Quiesce:
		if err := c.cfg.Quiesce(ctx, c.cfg.Service.Name, string(a.Member), a.For); err != nil {
			c.logStep("quiesce", a.Member, 0, err)
		}
	case failover.Announce:
		c.cfg.Log.WithFields(logrus.Fields{"service": a.Route.Service, "term": a.Route.Term, "primary": a.Route.Primary}).Info("primary established")
		c.cfg.Announce(a.Route)
	}
}

func (c *Coordinator) probe(a failover.Probe) {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	s, err := c.members[a.Member].status(ctx, a.Fresh)
	if err != nil {
		c.cfg.Log.WithError(err).WithField("upstream", a.Member).Debug("probe failed")
		c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.ProbeFailed(a.Member, a.Fresh, now) })
		return
	}
	c.applyEvent(func(now time.Duration) []failover.Action { return c.machine.Probed(a.Member, s, now) })
}

func (c *Coordinator) adopt(ctx context.Context, a failover.Adopt) {
	var quorum []string
	for id := range c.members {
		quorum = append(quorum, string(id))
	}
	adoption, err := c.members[a.Member].adopt(ctx, a.Term, a.Attempt, quorum)
	c.logStep("adopt", a.Member, a.Term, err)
	if err != nil {
		adoption = group.AdoptResult{}
	}
	c.applyEvent(func(now time.Duration) []failover.Action {
		return c.machine.Adopted(a.Member, adoption.Granted, adoption.Term, adoption.LastPosition, now)
	})
}

func (c *Coordinator) logStep(step string, member failover.MemberID, term uint64, err error) {
	entry := c.cfg.Log.WithFields(logrus.Fields{"step": step, "upstream": member, "term": term})
	if err != nil {
		entry.WithError(err).Warn("failover step failed")
		return
	}
	entry.Info("failover step done")
}
