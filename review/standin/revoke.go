package main

import (
	"time"
)

// revokedInTransaction takes the key of a client away that has a transaction open and goes
// on to use it. TROUBLE=0 publishes the same versions with the key in them.
func revokedInTransaction(folder, repo string, trouble bool) {
	d := newDeployment(folder, repo, 6, 16)
	d.bounds = "QuotaWindowS = 5\nQuotaOverrun = 0.1\nQuotaSlack = 20\nStrictRevoke = false\nRevokeMs = 5000\n"
	d.configApply = 5 * time.Second
	base := d.config
	revoked := false
	d.config = func(v int) map[string]any {
		c := base(v)
		keys := []string{"key-b"}
		if !revoked {
			keys = append(keys, "key-a")
		}
		c["Tenants"] = []map[string]any{{"Name": "acme", "ApiKeys": keys, "RatePerS": 100, "Burst": 100}}
		return c
	}
	d.start()
	k, err := connect(d.instances[0], "recall", "key-a")
	if err != nil {
		fatal("%v", err)
	}
	k.query("BEGIN")
	k.query("READ a1")
	revoked = trouble
	acked := d.publish()
	late, kept := 0, 0
	for i := range 10 {
		time.Sleep(900 * time.Millisecond)
		text := "WRITE a1 x"
		if i == 9 {
			text = "COMMIT"
		}
		at := time.Now()
		id, r := k.query(text)
		if trouble && at.Sub(acked) > d.configApply && len(d.rec.runsOf(id)) > 0 {
			late++
			d.rec.note("broken: %s %s ran %d ms after the version without the key was acknowledged: %s", id, text, at.Sub(acked).Milliseconds(), r)
		}
	}
	// For comparison: the same key for a new session, and for a new operation of this one.
	_, r := k.query("READ a1")
	d.rec.note("a new operation of the same session: %s", r)
	if _, err := connect(d.instances[0], "recall", "key-a"); err != nil {
		d.rec.note("a new session with the same key: %v", err)
	}
	d.rec.mu.Lock()
	kept = len(d.rec.kept)
	d.rec.mu.Unlock()
	verdict(d, late > 0, "CONFIG: %d statements ran with a dropped key later than ConfigApplyMs after the acknowledgement; %d statements were committed", late, kept)
}
