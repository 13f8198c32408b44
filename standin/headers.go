package standin

// Headers of requests and answers on the users' platform, as its callers and targets send and read them.
const (
	RequestIDHeader    = "Attempt-Id"
	StampHeader        = "Answer-Stamp"
	NotRunHeader       = "Not-Run"
	LeavingHeader      = "Server-Leaving"
	RetryAfterHeader   = "Retry-After"
	ExpectTargetHeader = "Expect-Instance"
	TeamHeader         = "Tenant"
	LastEventHeader    = "Last-Event-Id"
	// TimeLeftHeader holds the time until the caller's deadline, in milliseconds.
	TimeLeftHeader = "Time-Left-Ms"
	// TokensHeader holds the number of prompt tokens and the maximum number of output tokens, PromptHeader the parts of
	// the prompt.
	TokensHeader = "Token-Counts"
	PromptHeader = "Prompt-Prefix"
	// TargetHeader names the target in its answers to health checks.
	TargetHeader = "Instance-Id"
)

// ReservedHeaders may only be set by the system; headers of these names from callers must not reach targets.
var ReservedHeaders = []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Authorization"}
