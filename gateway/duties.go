package gateway

import (
	"slices"
	"time"

	"coltsfootlink/duty"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/settings"
)

// hasDuties reports whether the settings name singleton duties. Without any there is no duty task, and no other task sends it
// anything.
func (gateway *Gateway) hasDuties() bool { return len(gateway.Settings.Duties.Names) > 0 }

// dutiesFor returns the inbox of the duty task if the settings name a duty; otherwise nil.
func (gateway *Gateway) dutiesFor(name string) *mailbox.Deliveries {
	if slices.Contains(gateway.Settings.Duties.Names, name) {
		return gateway.mailboxes.duties
	}
	return nil
}

func (gateway *Gateway) dutyTask() *duty.Task {
	duties := gateway.Settings.Duties
	return &duty.Task{
		Self:           gateway.self.Name,
		Holder:         gateway.Settings.Instance,
		Usage:          slices.Contains(duties.Names, settings.UsageReporting),
		Scaling:        slices.Contains(duties.Names, settings.Scaling),
		Lease:          time.Duration(duties.LeaseMillis * float64(time.Millisecond)),
		Window:         time.Duration(duties.WindowSeconds * float64(time.Second)),
		Lateness:       time.Duration(duties.LatenessSeconds * float64(time.Second)),
		CallsPerSecond: duties.CallsPerSecond,
		Store:          platform.DutyRecords{Store: gateway.store},
		Caller:         platform.DutyCalls{Address: duties.Address},
		Clock:          gateway.clock,
		Sender:         gateway.router,
		Log:            gateway.Log,
		Inbox:          gateway.mailboxes.duties,
	}
}
