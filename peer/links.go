package peer

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/supervisor"
)

const (
	// reconnectInterval is the minimum time between two connections to an unresponsive instance.
	reconnectInterval = 2 * time.Second
	// idleTimeout is how long a link without messages is kept, and sweepInterval the time between two searches for such
	// links. Links that are used now and then are not opened again for each message.
	idleTimeout   = 30 * time.Second
	sweepInterval = 10 * time.Second
)

// Links is a task that starts a link to each instance that messages are sent to, and stops those that are idle and those to
// removed instances.
type Links struct {
	Self    coltsfootlink.InstanceName
	Token   string
	Secure  credentials.TransportCredentials
	Stamper coltsfootlink.Stamper
	Log     zerolog.Logger
	// Branch is the part of the supervisor tree that runs the links.
	Branch *supervisor.Branch
	Outbox *mailbox.Mailbox[Outgoing]
	Inbox  *mailbox.Deliveries
	// Owner is the mailbox that receives LinkBroken when messages to an instance may have been lost. On a node it is the
	// owner task's; a gateway sets the mailbox of the admission task, which ignores the message.
	Owner *mailbox.Deliveries

	view  coltsfootlink.View
	links map[coltsfootlink.InstanceName]handle
}

// handle is a running link.
type handle struct {
	outbox  *mailbox.Mailbox[coltsfootlink.Message]
	address string
	stop    func()
	// reconnectAt is when the link may be replaced if its instance is unresponsive.
	reconnectAt time.Time
	// idleAt is when the link is closed if no message is sent until then.
	idleAt time.Time
}

// Run forwards outgoing messages to the links, and starts and stops links, until the context ends.
func (links *Links) Run(ctx context.Context) error {
	links.links = make(map[coltsfootlink.InstanceName]handle)
	defer links.closeAll()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			links.closeIdle(time.Now())
		case <-links.Inbox.Ready():
		case <-links.Outbox.Ready():
		}
		for _, delivery := range links.Inbox.Drain() {
			if changed, is := delivery.Message.(coltsfootlink.ViewChanged); is {
				links.view = changed.View
				links.closeRemoved()
			}
		}
		for _, outgoing := range links.Outbox.Drain() {
			links.forward(outgoing)
		}
	}
}

// forward puts a message into the outbox of its instance's link, which it starts or replaces if need be. Messages to
// instances without a known address are dropped.
func (links *Links) forward(outgoing Outgoing) {
	member, found := links.view.Member(outgoing.To)
	if !found || member.PeerAddress == "" {
		return
	}
	current, open := links.links[outgoing.To]
	stale := open && (current.address != member.PeerAddress || !member.Live && time.Now().After(current.reconnectAt))
	if stale {
		current.stop()
		open = false
	}
	if !open {
		current = links.open(member)
	}
	current.idleAt = time.Now().Add(idleTimeout)
	links.links[outgoing.To] = current
	current.outbox.Put(outgoing.Message)
}

// closeIdle stops the links on which no message was sent for idleTimeout.
func (links *Links) closeIdle(now time.Time) {
	for name, handle := range links.links {
		if now.After(handle.idleAt) {
			handle.stop()
			delete(links.links, name)
		}
	}
}

func (links *Links) open(member coltsfootlink.Member) handle {
	outbox := mailbox.New[coltsfootlink.Message]()
	stop := links.Branch.Add(string(member.Name), &link{
		self:    links.Self,
		to:      member.Name,
		address: member.PeerAddress,
		token:   links.Token,
		secure:  links.Secure,
		stamper: links.Stamper,
		log:     links.Log,
		outbox:  outbox,
		owner:   links.Owner,
	})
	return handle{
		outbox:      outbox,
		address:     member.PeerAddress,
		stop:        stop,
		reconnectAt: time.Now().Add(reconnectInterval),
	}
}

// closeRemoved stops the links to instances that are no longer members.
func (links *Links) closeRemoved() {
	for name, handle := range links.links {
		if _, found := links.view.Member(name); !found {
			handle.stop()
			delete(links.links, name)
		}
	}
}

func (links *Links) closeAll() {
	for _, handle := range links.links {
		handle.stop()
	}
}
