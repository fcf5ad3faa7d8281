package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/elector"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks that run twice: the reply to the first poll under an epoch granted the longer lease of an
// outage, and that to the second, with the shorter one, is lost.
func TestLeaseOfFirstReplyIsCountedUntilItEnds(t *testing.T) {
	to := newTestOwner(t)
	to.config.VMLease, to.config.OutageLease = 3*time.Second, 30*time.Second
	to.held = func() bool { return true }
	poll := func(epoch, sequence int64) messenger.PollReply {
		call := to.call()
		to.handlePoll(call, messenger.Poll{Epoch: epoch, Incarnation: 1, Sequence: sequence, Capacity: messenger.Capacity{VM: "vm", Zone: "z"}})
		to.replyToPoll(to.session("vm"), nil)
		reply, ok := (<-call.result).value.(messenger.PollReply)
		if !ok {
			t.Fatal("the poll is refused")
		}
		return reply
	}
	to.epoch, to.outage = 2, true
	granted := to.now.Add(messenger.FromMillis(poll(1, 1).LeaseMillis))
	to.now, to.outage = to.now.Add(time.Second), false
	poll(2, 2) // its reply is lost
	if until := to.session("vm").leaseUntil; until.Before(granted) {
		t.Errorf("leases count as ended %s before the granted one ends", granted.Sub(until))
	}
}

// Guards against tasks that run twice: the store has dropped the earlier owner's lease early, and that owner granted
// leases until it had expired by its own clock.
func TestLeasesGrantedBesideThisOwnerAreCounted(t *testing.T) {
	const priorLease = 6 * time.Second
	to := newTestOwner(t)
	c := New(to.config)
	o := c.newOwner(to.journal, to.state, to.now, priorLease)
	end := to.now.Add(elector.DefaultLease + priorLease)
	if until := o.session("vm").leaseUntil; until.Before(end) {
		t.Errorf("leases count as ended %s before one ends that the earlier owner may have granted", end.Sub(until))
	}
}
