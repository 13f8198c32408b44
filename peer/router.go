package peer

import (
	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
)

// Router delivers messages to the mailboxes of this instance's tasks and forwards messages for other instances to their
// links. A node or a gateway sets the mailboxes of the tasks that it runs; the others are nil.
type Router struct {
	Self       coltsfootlink.InstanceName
	Links      *mailbox.Mailbox[Outgoing]
	Entry      *mailbox.Deliveries
	Owner      *mailbox.Deliveries
	Membership *mailbox.Deliveries
	Revision   *mailbox.Deliveries
	Claims     *mailbox.Deliveries
	List       *mailbox.Deliveries
	Admission  *mailbox.Deliveries
	Dispatch   *mailbox.Deliveries
	Shares     *mailbox.Deliveries
	Gate       *mailbox.Deliveries
	Moves      *mailbox.Deliveries
	Catalog    *mailbox.Deliveries
	Quarantine *mailbox.Deliveries
	Duties     *mailbox.Deliveries
}

// Outgoing is a message for another instance.
type Outgoing struct {
	To      coltsfootlink.InstanceName
	Message coltsfootlink.Message
}

// Send sends a message to an instance, which may be this one. It never blocks; messages to other instances may be lost.
func (router *Router) Send(to coltsfootlink.InstanceName, message coltsfootlink.Message) {
	if to == router.Self {
		router.Deliver(coltsfootlink.Delivery{From: to, Message: message})
		return
	}
	router.Links.Put(Outgoing{To: to, Message: message})
}

// Deliver puts a message into the mailboxes of the tasks that handle its type. Messages for tasks that this instance does not
// run are dropped: a peer of another kind may send them.
func (router *Router) Deliver(delivery coltsfootlink.Delivery) {
	for _, box := range router.receivers(delivery.Message) {
		if box == nil {
			metrics.Count("messages-without-receiver")
			continue
		}
		box.Put(delivery)
	}
}

// receivers returns the mailboxes of the tasks that handle a type of message; those of tasks that do not run are nil.
func (router *Router) receivers(message coltsfootlink.Message) []*mailbox.Deliveries {
	switch message.(type) {
	case coltsfootlink.Strikes:
		// An instance has only one of the two tasks: a node the entry task, a gateway the dispatch task.
		if router.Entry != nil {
			return []*mailbox.Deliveries{router.Entry}
		}
		return []*mailbox.Deliveries{router.Dispatch}
	case coltsfootlink.Grant, coltsfootlink.NotOwner:
		return []*mailbox.Deliveries{router.Entry}
	case coltsfootlink.Takeover:
		return []*mailbox.Deliveries{router.Entry, router.Owner}
	case coltsfootlink.Demand, coltsfootlink.Release, coltsfootlink.Holdings, coltsfootlink.Counters,
		coltsfootlink.MoveFault, coltsfootlink.MoveProgress:
		return []*mailbox.Deliveries{router.Owner}
	case coltsfootlink.Heartbeat:
		return []*mailbox.Deliveries{router.Membership}
	case coltsfootlink.ListRequest, coltsfootlink.ListReply:
		return []*mailbox.Deliveries{router.List}
	case coltsfootlink.Ask, coltsfootlink.Progress, coltsfootlink.Held:
		return []*mailbox.Deliveries{router.Admission}
	case coltsfootlink.TargetNotice:
		return []*mailbox.Deliveries{router.Admission, router.Dispatch}
	case coltsfootlink.Offered:
		return []*mailbox.Deliveries{router.Shares}
	case coltsfootlink.Shares:
		return []*mailbox.Deliveries{router.Gate, router.Dispatch}
	case coltsfootlink.MoveUsages:
		return []*mailbox.Deliveries{router.Moves}
	case coltsfootlink.MoveWord:
		return []*mailbox.Deliveries{router.Moves, router.Dispatch}
	case coltsfootlink.Verdict:
		return []*mailbox.Deliveries{router.Dispatch}
	case coltsfootlink.News, coltsfootlink.NewsRequest:
		return []*mailbox.Deliveries{router.Catalog}
	case coltsfootlink.QuarantineNews, coltsfootlink.QuarantineRequest, coltsfootlink.BarLift:
		return []*mailbox.Deliveries{router.Quarantine}
	case coltsfootlink.DutyReport, coltsfootlink.DutyHolder:
		return []*mailbox.Deliveries{router.Duties}
	case coltsfootlink.TargetSpeeds:
		return []*mailbox.Deliveries{router.Admission, router.Dispatch}
	case coltsfootlink.ClaimRequest, coltsfootlink.ClaimReply, coltsfootlink.ClaimOutcome:
		return []*mailbox.Deliveries{router.Claims}
	case coltsfootlink.RevisionRequest, coltsfootlink.RevisionReply:
		return []*mailbox.Deliveries{router.Revision}
	default:
		return nil
	}
}
