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
	suspectAfter  = 600 * time.Millisecond
	stalledAfter  = 1500 * time.Millisecond
	stepTimeout   = 500 * time.Millisecond
	// suspectTick bounds the time between two ticks while the service has no
	// healthy primary, because NextTick leaves out the end of suspectAfter.
	suspectTick = 50 * time.Millisecond
	// minTick keeps a machine whose next tick is already due from spinning.
	minTick = time.Millisecond
)

// Reserver arbitrates between coordinators at the platform.
type Reserver interface {
	Reserve(ctx context.Context, service string, term uint64, attempt string) failover.ReserveOutcome
}

// Config describes the coordinator of one service.
type Config struct {
	Instance    string
	Incarnation uint64
	Service     *fleet.Service
	Now         func() time.Duration
	Source      netip.Addr // local address of connections; may be unset
	Reserver    Reserver
	// Quiesce asks the owner of the primary to take no new writes for a time.
	Quiesce func(ctx context.Context, service, primary string, limit time.Duration) error
	// Announce is called with each route that this coordinator establishes.
	Announce func(failover.Route)
	Log      *logrus.Entry
}

// Coordinator runs the failover machine of one service. While it is inactive it
// has no machine, no timer and no goroutine, because each instance keeps one of
// every service of the fleet; it only remembers what the machine must know.
type Coordinator struct {
	cfg Config
	ctx context.Context

	// switching serializes SetActive, so that the last call takes effect last.
	switching sync.Mutex

	mu       sync.Mutex
	machine  *failover.Coordinator // nil before the first activation
	members  map[failover.MemberID]*member
	active   bool
	timer    *time.Timer // of the machine's next tick while active
	stop     func() bool // ends the wait for the end of ctx
	route    failover.Route
	hasRoute bool
	live     map[string]int
}

// New returns an inactive coordinator. It works until ctx ends.
func New(ctx context.Context, cfg Config) *Coordinator { return &Coordinator{cfg: cfg, ctx: ctx} }

// build makes the machine and the members; the caller holds mu.
func (c *Coordinator) build() {
	cfg := c.cfg
	c.members = make(map[failover.MemberID]*member)
	var members []failover.Member
	for _, db := range cfg.Service.Databases {
		id := failover.MemberID(db.Name)
		members = append(members, failover.Member{ID: id, FailureDomain: db.FailureDomain})
		c.members[id] = &member{
			id:      id,
			address: db.Address,
			service: cfg.Service.Name,
			source:  cfg.Source,
			app:     fmt.Sprintf("papayarail/%s/%s/control", cfg.Instance, strconv.FormatUint(cfg.Incarnation, 36)),
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
	c.machine.SetLiveInstances(c.live)
}

// SetActive says whether this instance is the chosen coordinator of the service.
func (c *Coordinator) SetActive(active bool) {
	c.switching.Lock()
	defer c.switching.Unlock()
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
		c.build()
	}
	c.active = true
	c.stop = context.AfterFunc(c.ctx, func() { c.SetActive(false) })
	c.mu.Unlock()
	c.event(func(now time.Duration) []failover.Action {
		if c.hasRoute {
			c.machine.LearnRoute(c.route, now)
		}
		return c.machine.SetActive(true, now)
	})
}

func (c *Coordinator) deactivate() {
	c.mu.Lock()
	c.active = false
	c.stop()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.mu.Unlock()
	c.event(func(now time.Duration) []failover.Action { return c.machine.SetActive(false, now) })
	c.closeMembers()
}

// LearnRoute takes in a route that a peer announced. An inactive coordinator
// keeps the one with the highest term for its activation.
func (c *Coordinator) LearnRoute(r failover.Route) {
	c.remember(r)
	c.event(func(now time.Duration) []failover.Action { return c.machine.LearnRoute(r, now) })
}

func (c *Coordinator) remember(r failover.Route) {
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

// ReplacePrimary moves the primary away from a member that is leaving.
func (c *Coordinator) ReplacePrimary(name string) {
	c.event(func(now time.Duration) []failover.Action {
		return c.machine.SetLeaving(failover.MemberID(name), now)
	})
}

// SetLiveInstances sets the number of live instances in each failure domain,
// which decides between candidates that are otherwise equal.
func (c *Coordinator) SetLiveInstances(live map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = live
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

// event feeds the machine, if there is one, performs its actions, and sets the
// timer for its next tick.
func (c *Coordinator) event(f func(now time.Duration) []failover.Action) {
	c.mu.Lock()
	if c.machine == nil {
		c.mu.Unlock()
		return
	}
	now := c.cfg.Now()
	actions := f(now)
	if c.active {
		c.schedule(now)
	}
	c.mu.Unlock()
	for _, a := range actions {
		go c.perform(a)
	}
}

// schedule sets the timer for the machine's next tick; the caller holds mu.
func (c *Coordinator) schedule(now time.Duration) {
	wait := max(c.machine.NextTick()-now, minTick)
	if c.machine.State() != failover.Watching {
		wait = min(wait, suspectTick)
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.tick)
		return
	}
	c.timer.Reset(wait)
}

func (c *Coordinator) tick() {
	c.event(func(now time.Duration) []failover.Action { return c.machine.Tick(now) })
}

func (c *Coordinator) perform(a failover.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, stepTimeout)
	defer cancel()
	switch a := a.(type) {
	case failover.Probe:
		c.probe(a)
	case failover.Reserve:
		outcome := c.cfg.Reserver.Reserve(ctx, c.cfg.Service.Name, a.Term, a.Attempt)
		c.event(func(now time.Duration) []failover.Action { return c.machine.Reserved(a.Term, outcome, now) })
	case failover.Adopt:
		c.adopt(ctx, a)
	case failover.Promote:
		err := c.members[a.Member].promote(ctx, a.Term, a.Attempt)
		c.logStep("promote", a.Member, a.Term, err)
		c.event(func(now time.Duration) []failover.Action {
			return c.machine.Promoted(a.Member, err == nil, a.Term, now)
		})
	case failover.Follow:
		err := c.members[a.Member].follow(ctx, a.Term, c.members[a.Primary])
		c.logStep("follow", a.Member, a.Term, err)
		c.event(func(now time.Duration) []failover.Action { return c.machine.Followed(a.Member, err == nil, now) })
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
		c.event(func(now time.Duration) []failover.Action { return c.machine.ProbeFailed(a.Member, a.Fresh, now) })
		return
	}
	c.event(func(now time.Duration) []failover.Action { return c.machine.Probed(a.Member, s, now) })
}

func (c *Coordinator) adopt(ctx context.Context, a failover.Adopt) {
	var quorum []string
	for id := range c.members {
		quorum = append(quorum, string(id))
	}
	answer, err := c.members[a.Member].adopt(ctx, a.Term, a.Attempt, quorum)
	c.logStep("adopt", a.Member, a.Term, err)
	if err != nil {
		answer = group.AdoptResult{}
	}
	c.event(func(now time.Duration) []failover.Action {
		return c.machine.Adopted(a.Member, answer.Granted, answer.Term, answer.LastPosition, now)
	})
}

func (c *Coordinator) logStep(step string, m failover.MemberID, term uint64, err error) {
	entry := c.cfg.Log.WithFields(logrus.Fields{"step": step, "upstream": m, "term": term})
	if err != nil {
		entry.WithError(err).Warn("failover step failed")
		return
	}
	entry.Info("failover step done")
}
