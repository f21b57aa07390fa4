package gateway_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/source"
)

var domains = []string{"a", "b", "c"}

func instances(n int) (all []source.Candidate) {
	for i := range n {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), Address: fmt.Sprint("host", i), FailureDomain: domains[i%len(domains)], Weight: 0.2})
	}
	return all
}

// picker returns the picker of instance i of n.
func picker(i, n int) *gateway.Picker {
	p := gateway.New(fmt.Sprint("i", i), domains[i%len(domains)])
	p.SetCandidates(instances(n))
	return p
}

// pick returns the gateway of a member without a failure domain; ok is false if the
// instance connects directly.
func pick(p *gateway.Picker, member string, now time.Duration) (c source.Candidate, ok bool) {
	c, path := p.Pick(member, "", now)
	return c, path == gateway.ViaGateway
}

func isGateway(p *gateway.Picker, member string) bool {
	role, _ := p.Role(member, "", 0)
	return role != gateway.NoGateway
}

// Guards against more connections to a member than its gateways open: all instances of a
// failure domain must select the same gateway, and one in their own domain.
func TestInstancesOfADomainAgree(t *testing.T) {
	const n = 85
	for m := range 24 {
		member := fmt.Sprint("m", m)
		connecting := 0
		first := make(map[string]string)
		for i := range n {
			p := picker(i, n)
			c, viaGateway := pick(p, member, 0)
			if !viaGateway {
				connecting++
				c.Name, c.FailureDomain = fmt.Sprint("i", i), domains[i%3]
			}
			assert.Equal(t, c.FailureDomain, domains[i%3])
			if known := first[c.FailureDomain]; known != "" {
				assert.Equal(t, known, c.Name)
			}
			first[c.FailureDomain] = c.Name
		}
		assert.Equal(t, connecting, len(domains), "one instance in each domain connects directly")
	}
}

// Guards against gateways in small deployments, where the forwarding costs more than the
// saved connections.
func TestFewInstancesConnectDirectly(t *testing.T) {
	assert.Assert(t, picker(0, 6).ConnectDirectly(16))
	assert.Assert(t, picker(0, 9).ConnectDirectly(34))
	assert.Assert(t, !picker(0, 85).ConnectDirectly(46))
	single := gateway.New("i0", "a")
	assert.Assert(t, single.ConnectDirectly(1))
	_, viaGateway := pick(single, "m", 0)
	assert.Assert(t, !viaGateway)
}

// Guards against the selection of gateways that have failed or are leaving, and against
// gateways that are not selected again after they have recovered.
func TestFailedGatewayIsExcluded(t *testing.T) {
	const n = 85
	member := "m1"
	var p *gateway.Picker
	var first source.Candidate
	for i := range n {
		p = picker(i, n)
		if isGateway(p, member) {
			continue
		}
		first, _ = pick(p, member, 0)
		break
	}
	assert.Assert(t, p.RecordFailure(first.Name, time.Second))
	assert.Assert(t, !p.RecordFailure(first.Name, time.Second), "other requests that fail at the same time must not count as further failures")
	second, viaGateway := pick(p, member, time.Second)
	assert.Assert(t, viaGateway && second.Name != first.Name)
	p.RecordLeaving(second.Name, time.Second)
	// When a loss of power ended the gateways of a third of the members, all instances
	// connected to these members directly and exceeded their connection limits
	// (colle-avvisi-large, 2,471 connections reset). Spare gateways must come first.
	for range 2 {
		spare, viaGateway := pick(p, member, time.Second)
		assert.Assert(t, viaGateway && spare.Name != first.Name && spare.Name != second.Name)
		assert.Assert(t, p.RecordFailure(spare.Name, time.Second))
	}
	_, path := p.Pick(member, "", time.Second)
	assert.Equal(t, path, gateway.Unavailable, "no gateway is available")
	last, until, ok := p.LastResort(member, "")
	assert.Assert(t, ok && last.Name != second.Name, "the gateway whose exclusion ends first is tried; one that is leaving is excluded for longer")
	assert.Equal(t, until, 2500*time.Millisecond)
	p.RecordAnswer(second.Name, 2*time.Second)
	c, viaGateway := pick(p, member, 3*time.Second)
	assert.Assert(t, viaGateway && c.Name == first.Name, "a gateway that is leaving must stay excluded")
	p.RecordAnswer(first.Name, 3*time.Second)
	assert.Assert(t, p.RecordFailure(first.Name, 4*time.Second))
	c, _ = pick(p, member, 5500*time.Millisecond)
	assert.Equal(t, c.Name, first.Name, "after an answer, the exclusion must be short again")
}

// Guards against instances that connect to a member directly while all gateways are
// excluded: only the gateways and the spare ones may do so. 91 instances exceeded the limit
// of 46 connections of every member after a loss of power.
func TestOnlyGatewaysConnectDirectly(t *testing.T) {
	const n, member = 91, "m1"
	connecting := 0
	for i := range n {
		p := picker(i, n)
		for _, c := range instances(n) {
			if c.Name != fmt.Sprint("i", i) {
				p.RecordFailure(c.Name, time.Second)
			}
		}
		_, path := p.Pick(member, "", time.Second)
		assert.Assert(t, path != gateway.ViaGateway)
		if path == gateway.Direct {
			connecting++
		} else if _, _, ok := p.LastResort(member, ""); !ok {
			t.Errorf("instance %d has no gateway to try", i)
		}
	}
	assert.Equal(t, connecting, 4*len(domains), "two gateways and two spare ones in each domain")
}

// Guards against a gateway that is excluded for as long as one that has failed because it
// was starting, and against one that stays excluded although it has answered.
func TestStartingGatewayIsTriedAgainSoon(t *testing.T) {
	p := picker(0, 85)
	p.SetCandidates(instances(85))
	member := "m1"
	first, viaGateway := pick(p, member, 0)
	assert.Assert(t, viaGateway)
	p.RecordStarting(first.Name, time.Second)
	c, _ := pick(p, member, 1100*time.Millisecond)
	assert.Assert(t, c.Name != first.Name)
	c, _ = pick(p, member, 1200*time.Millisecond)
	assert.Equal(t, c.Name, first.Name)
	p.RecordFailure(first.Name, 2*time.Second)
	p.RecordLastResortAnswer(first.Name)
	c, _ = pick(p, member, 2*time.Second)
	assert.Equal(t, c.Name, first.Name)
}

// Guards against a distribution of gateways that ignores the capacity of machines: with
// four times the weight, an instance must be the gateway of about four times as many
// members.
func TestGatewaysFollowWeight(t *testing.T) {
	all := instances(30)
	all[0].Weight = 0.8
	p := gateway.New("observer", "a")
	p.SetCandidates(all)
	got := make(map[string]int)
	for m := range 5000 {
		c, _ := pick(p, fmt.Sprint("m", m), 0)
		got[c.Name]++
	}
	mean := float64(5000-got["i0"]) / 9
	ratio := float64(got["i0"]) / mean
	assert.Assert(t, ratio > 3.3 && ratio < 4.7, "ratio %.2f", ratio)
}

// Guards against two instances with the same precedence, and against an instance that
// takes precedence although it is not announced.
func TestPrecedence(t *testing.T) {
	all := instances(30)
	taken := make(map[int]bool)
	for _, c := range all {
		position, ok := gateway.NewFleet(c.Name, all).Precedence("s")
		assert.Assert(t, ok && !taken[position])
		taken[position] = true
	}
	assert.Equal(t, len(taken), len(all))
	_, ok := gateway.NewFleet("starting", all).Precedence("s")
	assert.Assert(t, !ok)
	_, ok = gateway.NewFleet("starting", nil).Precedence("s")
	assert.Assert(t, !ok, "an instance without announcements does not know whether there are others")
	position, ok := gateway.NewStandalone("i0").Precedence("s")
	assert.Assert(t, ok && position == 0)
}

// Guards against wrong load shares in failure domains with different numbers of
// instances: callers connect to instances of their own failure domain.
func TestLoadShare(t *testing.T) {
	var all []source.Candidate
	for i, domain := range []string{"a", "a", "a", "b", "c", "c"} {
		all = append(all, source.Candidate{Name: fmt.Sprintf("i%d", i), FailureDomain: domain})
	}
	sum := 0.0
	for _, c := range all {
		sum += gateway.NewFleet(c.Name, all).LoadShare()
	}
	assert.Assert(t, math.Abs(sum-1) < 1e-9, "%g", sum)
	assert.Assert(t, math.Abs(gateway.NewFleet("i3", all).LoadShare()-1.0/3) < 1e-9)
	assert.Assert(t, math.Abs(gateway.NewFleet("unannounced", all).LoadShare()-1.0/6) < 1e-9)
	assert.Equal(t, gateway.NewStandalone("i0").LoadShare(), 1.0)
}

// workspacePicker returns the picker of instance i of n where callers have workspaces.
func workspacePicker(i, n int) *gateway.Picker {
	p := picker(i, n)
	p.SetWorkspaces(true)
	return p
}

// Guards against connections of one workspace in several places: all instances must select
// the same gateway for a member, in the member's domain, and the others must not connect.
func TestInstancesOfAllDomainsAgree(t *testing.T) {
	const n = 88
	for m := range 24 {
		member, domain := fmt.Sprint("m", m), domains[m%3]
		first, roles := "", make(map[gateway.Role]int)
		for i := range n {
			p := workspacePicker(i, n)
			c, path := p.Pick(member, domain, 0)
			if path == gateway.Direct {
				c.Name, c.FailureDomain = fmt.Sprint("i", i), domains[i%3]
			}
			assert.Equal(t, c.FailureDomain, domain)
			assert.Assert(t, first == "" || first == c.Name)
			first = c.Name
			role, _ := p.Role(member, domain, 0)
			roles[role]++
		}
		assert.Equal(t, roles[gateway.MemberGateway], 2)
		assert.Equal(t, roles[gateway.SpareGateway], 6, "two instances of each domain serve while both gateways fail")
	}
}

// Guards against every instance connecting by itself when gateways fail: the two gateways
// of the caller's own domain come next, then the request is refused.
func TestWorkspaceGatewaysFail(t *testing.T) {
	const n, member, domain = 88, "m1", "a"
	for i := range n {
		p := workspacePicker(i, n)
		if role, _ := p.Role(member, domain, 0); role != gateway.NoGateway {
			continue
		}
		for attempt := range 4 {
			c, path := p.Pick(member, domain, time.Second)
			assert.Equal(t, path, gateway.ViaGateway)
			if attempt < 2 {
				assert.Equal(t, c.FailureDomain, domain)
			} else {
				assert.Equal(t, c.FailureDomain, domains[i%3])
			}
			p.RecordFailure(c.Name, time.Second)
		}
		_, path := p.Pick(member, domain, time.Second)
		assert.Equal(t, path, gateway.Unavailable)
		_, _, ok := p.LastResort(member, domain)
		assert.Assert(t, !ok, "an excluded gateway is not tried where callers have workspaces")
		assert.Equal(t, p.RetryAfter(member, domain, time.Second), 1500*time.Millisecond)
		_, path = p.Pick(member, domain, 3*time.Second)
		assert.Equal(t, path, gateway.ViaGateway)
	}
}

// Guards against 200 ms of silence at each gateway of a failure domain that is cut off: two
// silent instances must suspend the domain for all members, an answer from there in
// between must not, and an answer must end the suspension.
func TestSilentDomainIsSuspendedOnce(t *testing.T) {
	p := workspacePicker(0, 88) // in domain "a"
	at := time.Second
	_, suspended := p.RecordSilence("i1", at)
	assert.Assert(t, !suspended, "one instance may have lost power")
	p.RecordAlive("b")
	_, suspended = p.RecordSilence("i4", at)
	assert.Assert(t, !suspended, "the domain has answered meanwhile")
	_, suspended = p.RecordSilence("i7", at+5*time.Second)
	assert.Assert(t, !suspended, "the silence of the other one is long past")
	domain, suspended := p.RecordSilence("i1", at+5*time.Second)
	assert.Assert(t, suspended && domain == "b")
	_, suspended = p.RecordSilence("i4", at+5*time.Second)
	assert.Assert(t, !suspended, "suspended twice")
	for m := range 24 {
		c, path := p.Pick(fmt.Sprint("m", m), "b", at+5*time.Second)
		assert.Assert(t, path == gateway.Direct || c.FailureDomain == "a", "%+v", c)
	}
	assert.Assert(t, p.RecordAlive("b"))
	c, _ := p.Pick("m5", "b", at+5*time.Second)
	assert.Equal(t, c.FailureDomain, "b")
	_, suspended = p.RecordSilence("i3", at)
	assert.Assert(t, !suspended, "the own domain is never suspended")
}

// Guards against members without a gateway after the loss of all instances of their
// failure domain.
func TestMemberDomainWithoutInstances(t *testing.T) {
	var left []source.Candidate
	for _, c := range instances(88) {
		if c.FailureDomain != "b" {
			left = append(left, c)
		}
	}
	connecting := 0
	for _, self := range left {
		p := gateway.New(self.Name, self.FailureDomain)
		p.SetWorkspaces(true)
		p.SetCandidates(left)
		c, path := p.Pick("m1", "b", 0)
		assert.Assert(t, path == gateway.Direct || path == gateway.ViaGateway && c.FailureDomain == self.FailureDomain)
		if role, _ := p.Role("m1", "b", 0); role == gateway.DomainGateway {
			connecting++
		}
	}
	assert.Equal(t, connecting, 4, "two instances in each of the two domains")
}

// Guards against a restart of the handover with each change of the list, and against none
// after an interruption.
func TestRoleBeginsOnce(t *testing.T) {
	const member, domain = "m1", "a"
	all := instances(88)
	var p *gateway.Picker
	for i := range all {
		p = workspacePicker(i, 88)
		if role, _ := p.Role(member, domain, 0); role == gateway.MemberGateway {
			break
		}
	}
	p.SetCandidates(all[:87])
	_, since := p.Role(member, domain, time.Second)
	assert.Equal(t, since, time.Duration(0))
	p.SetWorkspaces(false)
	p.Role(member, domain, 2*time.Second)
	p.SetWorkspaces(true)
	_, since = p.Role(member, domain, 3*time.Second)
	assert.Equal(t, since, 3*time.Second)
}

// Guards against a question to other failure domains that all instances ask the same
// instance at the same time.
func TestOutsideIsSpread(t *testing.T) {
	all := instances(91)
	asked := make(map[string]int)
	for _, c := range all {
		outside := gateway.NewFleet(c.Name, all).Outside(c.FailureDomain, 2)
		assert.Equal(t, len(outside), 2)
		assert.Assert(t, outside[0].FailureDomain != outside[1].FailureDomain)
		for _, o := range outside {
			assert.Assert(t, o.FailureDomain != c.FailureDomain)
			asked[o.Name]++
		}
	}
	for name, n := range asked {
		assert.Assert(t, n <= 10, "%s is asked by %d", name, n)
	}
}
