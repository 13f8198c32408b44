package coltsfootlink

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDutyConflict indicates that another instance has appended a record of the singleton duties in the meantime.
var ErrDutyConflict = errors.New("another instance has appended a duty record")

// DutyReport is sent by every instance to the holder of the singleton duties, about once a second. It reports the requests
// that have begun to run for the sender's callers, and the load of the targets that the sender owns.
type DutyReport struct {
	// Windows are the usage windows that are not recorded yet. Their counts are cumulative, so that lost or repeated
	// reports do no harm.
	Windows []UsageWindow
	// Reached is the usage window that was in progress when the report was sent; the counts of earlier ones are final.
	Reached uint64
	// Incarnation is the incarnation of the sender, to which the counts belong.
	Incarnation uint64
	// Loads are the loads since the sender's previous report.
	Loads []TargetsLoad
}

// UsageWindow holds the requests by team that began to run in one window of the platform's usage reports.
type UsageWindow struct {
	// Index is the number of the window; window 0 began at the Unix epoch.
	Index uint64
	Teams []TeamCount
}

// TeamCount is a number of requests of one team.
type TeamCount struct {
	Team     TeamName
	Requests int
}

// TargetsLoad is the load of the targets of one pool in one availability zone that one instance owns, over an interval. Surplus
// requests, which use only idle capacity, are left out.
type TargetsLoad struct {
	Pool PoolName
	Zone ZoneName
	// Targets is the number of targets, and Slots the sum of their slots.
	Targets, Slots int
	// Running is the mean number of requests in progress on all these targets together.
	Running float64
	// ReadMillis is the reading time of the prompts that were granted, and IntervalMillis the length of the interval, both
	// in milliseconds.
	ReadMillis, IntervalMillis float64
	// GrantedTokens is the work that was granted, and RefusedTokens the work within teams' shares that was refused because
	// targets were full; both in tokens.
	GrantedTokens, RefusedTokens float64
}

// DutyHolder is sent by the holder of the singleton duties to all instances about once a second.
type DutyHolder struct {
	// Token is the holder's fencing token. An announcement with a lower one than the highest known is outdated.
	Token uint64
	// NextWindow is the first usage window that is not recorded yet.
	NextWindow uint64
}

// TargetSpeeds is sent by the owner of targets to all instances when the measured speed of one of them differs by over 20% from
// the rates in the settings, or no longer does. It lists all such targets of the sender, at most once a second and again every
// five seconds. An owner knows its own targets only, so speeds are multiples of the settings' rates, and receivers relate them to
// each other: a target that is not listed counts as 1, and where all targets of a pool differ alike, all are listed. A target that
// is like the settings again is listed with 1 for some seconds. A speed that was not repeated for fourteen seconds is outdated.
type TargetSpeeds struct {
	Speeds []TargetSpeed
}

// TargetSpeed is the speed of a target.
type TargetSpeed struct {
	Target TargetName
	// Incarnation is the incarnation of the target to which the speed belongs.
	Incarnation uint64
	// Speed is the rate at which the target works, as a multiple of the rates in the settings, in steps of 0.1.
	Speed float64
}

// UsageBegun tells the instance's duty task that a request of a team has begun to run: its first event or first byte was
// received.
type UsageBegun struct {
	Local

	At   time.Time
	Team TeamName
}

// LoadsSampled tells the instance's duty task the loads of the targets that the instance owns since the previous sample.
type LoadsSampled struct {
	Local

	Loads []TargetsLoad
}

func (DutyReport) isMessage()   {}
func (DutyHolder) isMessage()   {}
func (TargetSpeeds) isMessage() {}

// FencedCall identifies the holder of a singleton duty in a call to the platform.
type FencedCall struct {
	// Holder is the name of the instance in its settings.
	Holder string
	// Token is the fencing token of the holder; it grows with each change of holder.
	Token uint64
}

// DutyCaller makes the calls to the platform that are the duty of one instance at a time.
type DutyCaller interface {
	// ReportUsage reports how many requests of each team began to run in a usage window. Failures are *DutyError.
	ReportUsage(ctx context.Context, fence FencedCall, window uint64, counts []TeamCount) error
	// Scale orders a number of targets of a pool in a zone. Failures are *DutyError.
	Scale(ctx context.Context, fence FencedCall, pool PoolName, zone ZoneName, count int) error
}

// DutyError describes a duty call that was not confirmed. Unless Throttled or Rejected is set, it may have been carried out.
type DutyError struct {
	// Throttled indicates that the platform accepts no more duty calls at the moment, and Rejected that it refused this one.
	Throttled, Rejected bool
	// Answered indicates that the platform has answered at all.
	Answered bool
	Cause    error
}

// Error returns the text of the cause.
func (failure *DutyError) Error() string { return "duty call: " + failure.Cause.Error() }

// Unwrap returns the cause.
func (failure *DutyError) Unwrap() error { return failure.Cause }

// LeaseRecord is the recorded state of the lease of the singleton duties.
type LeaseRecord struct {
	// Holder is the name of the instance that acquired the lease, and Incarnation its incarnation.
	Holder      string
	Incarnation uint64
	// Token is the fencing token of the acquisition; zero in the record of the acquisition itself, whose token follows from
	// its position.
	Token uint64
	// Renewal counts the lease records that the incarnation has tried to append, so that each record differs from the one
	// before, and its writer knows when it sent the record.
	Renewal uint64
	// Reported is the first usage window that the platform has not confirmed yet.
	Reported uint64
	// Era is the era of the store that the holder knew when it sent the record. A record that is read in a later era was kept
	// by a restore, or took effect after it by accident.
	Era uint64
	// Refused is the first window after those that must not be recorded any more unless the store has them: their records may
	// have been lost in a restore after they were reported. It is zero if there are none.
	Refused uint64
}

// eraTokenBits is the number of bits of a fencing token below the era. The platform's limit of a token is not published; JSON
// numbers are exact up to 2^53, which leaves room for 2^36 records (1,500 years at 1.4 a second) and 2^17 restores.
const eraTokenBits = 36

// FencingToken returns the fencing token of a lease whose record was appended at a position. It rises with the position, also
// from one era to the next, whichever era the store begins with. With a store that reports no era, it is the offset plus one.
func FencingToken(acquired Position) uint64 {
	return acquired.Era<<eraTokenBits + acquired.Offset + 1
}

// DutyRecords is the recorded state of the singleton duties.
type DutyRecords struct {
	// Lease is the newest lease record; LeaseFound is false if there is none. Its Token is never zero.
	Lease      LeaseRecord
	LeaseFound bool
	// Windows are the recorded usage windows that the store still has, by index.
	Windows map[uint64]UsageWindow
	// End is the position at which the next record has to be appended.
	End Position
}

// NextWindow returns the first usage window that is not recorded yet. Windows are recorded in order, so that no earlier one
// may be recorded any more.
func (records DutyRecords) NextWindow() uint64 {
	next := max(records.Lease.Reported, records.Lease.Refused)
	for index := range records.Windows {
		next = max(next, index+1)
	}
	return next
}

// LeaseStore keeps the records of the singleton duties. Records are appended under the condition that nothing was appended
// since the records were read, so that of two instances only one succeeds.
type LeaseStore interface {
	// Read returns the recorded state.
	Read(ctx context.Context) (DutyRecords, error)
	// AppendLease appends a lease record at a position, together with usage windows that the store has lost, and returns the
	// next position; ErrDutyConflict if others have appended.
	AppendLease(ctx context.Context, record LeaseRecord, lost []UsageWindow, at Position) (Position, error)
	// AppendWindow appends the counts of a usage window at a position and returns the next position; ErrDutyConflict if
	// others have appended.
	AppendWindow(ctx context.Context, window UsageWindow, at Position) (Position, error)
	// RemoveWindows removes recorded usage windows, with records at a position, and returns the next position; ErrDutyConflict
	// if others have appended.
	RemoveWindows(ctx context.Context, indexes []uint64, at Position) (Position, error)
}

// ScaleRange is the range within which the number of a pool's targets in each availability zone may be ordered.
type ScaleRange struct {
	// Min and Max are the least and the largest number of targets in a zone; both are zero if none may be ordered.
	Min, Max int
	// StartupTime is how long a new target takes until it serves.
	StartupTime time.Duration
}

// Ordered reports whether the number of targets may be ordered.
func (scale ScaleRange) Ordered() bool { return scale.Max > 0 }
