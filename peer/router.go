package peer

import (
	"coltsfootlink"
	"coltsfootlink/mailbox"
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

// Deliver puts a message into the mailboxes of the tasks that handle its type.
func (router *Router) Deliver(delivery coltsfootlink.Delivery) {
	switch delivery.Message.(type) {
	case coltsfootlink.Strikes:
		// An instance has only one of the two tasks: a node the entry task, a gateway the dispatch task.
		for _, box := range []*mailbox.Deliveries{router.Entry, router.Dispatch} {
			if box != nil {
				box.Put(delivery)
			}
		}
	case coltsfootlink.Grant, coltsfootlink.NotOwner:
		router.Entry.Put(delivery)
	case coltsfootlink.Takeover:
		router.Entry.Put(delivery)
		router.Owner.Put(delivery)
	case coltsfootlink.Demand, coltsfootlink.Release, coltsfootlink.Holdings, coltsfootlink.Counters,
		coltsfootlink.MoveFault, coltsfootlink.MoveProgress:
		router.Owner.Put(delivery)
	case coltsfootlink.Heartbeat:
		router.Membership.Put(delivery)
	case coltsfootlink.ListRequest, coltsfootlink.ListReply:
		router.List.Put(delivery)
	case coltsfootlink.Ask, coltsfootlink.Progress, coltsfootlink.Held:
		router.Admission.Put(delivery)
	case coltsfootlink.TargetNotice:
		router.Admission.Put(delivery)
		router.Dispatch.Put(delivery)
	case coltsfootlink.Offered:
		router.Shares.Put(delivery)
	case coltsfootlink.Shares:
		router.Gate.Put(delivery)
	case coltsfootlink.MoveUsages:
		router.Moves.Put(delivery)
	case coltsfootlink.MoveWord:
		router.Moves.Put(delivery)
		router.Dispatch.Put(delivery)
	case coltsfootlink.Verdict:
		router.Dispatch.Put(delivery)
	case coltsfootlink.News, coltsfootlink.NewsRequest:
		router.Catalog.Put(delivery)
	case coltsfootlink.ClaimRequest, coltsfootlink.ClaimReply, coltsfootlink.ClaimOutcome:
		router.Claims.Put(delivery)
	case coltsfootlink.RevisionRequest, coltsfootlink.RevisionReply:
		router.Revision.Put(delivery)
	}
}
