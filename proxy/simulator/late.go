package simulator

import "github.com/papayarail/papayarail/proxy/statement"

// lateEffects are commands and promotions whose senders get no answer, and which take
// effect when ReleaseHeld is called.
type lateEffects struct {
	commands   map[string]heldKind // by member
	promotions int                 // number of further calls to hold
	held       []func()
}

// heldKind is the kind of control commands that are held. Those that have not arrived are
// dropped with their connection.
type heldKind struct {
	kind    statement.ControlKind
	arrived bool
}

func (l *lateEffects) hold(effect func()) { l.held = append(l.held, effect) }

// HoldCommands holds all control commands of a kind to a member until ReleaseHeld. If
// arrived is set, the member has received them and executes them also if their connections
// have been closed since.
func (c *Cluster) HoldCommands(id string, kind statement.ControlKind, arrived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late.commands == nil {
		c.late.commands = make(map[string]heldKind)
	}
	c.late.commands[id] = heldKind{kind, arrived}
}

// PassCommands ends HoldCommands for further commands; those that are held stay held.
func (c *Cluster) PassCommands(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.late.commands, id)
}

// HoldPromotions holds the next n calls for a promotion until ReleaseHeld.
func (c *Cluster) HoldPromotions(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.promotions = n
}

// Held returns the number of commands and promotions that are held.
func (c *Cluster) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.late.held)
}

// DropHeld drops what is held: it never takes effect.
func (c *Cluster) DropHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.held = nil
}

// ReleaseHeld lets what is held take effect now.
func (c *Cluster) ReleaseHeld() {
	c.mu.Lock()
	held := c.late.held
	c.late.held = nil
	c.mu.Unlock()
	for _, effect := range held {
		effect()
	}
}

// Calls returns the number of promotions that were called for, without those for the
// present primary.
func (c *Cluster) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}
