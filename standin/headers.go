package standin

// Headers of requests and answers on the users' platform, as its callers and targets know them.
const (
	RequestIDHeader    = "Attempt-Id"
	StampHeader        = "Answer-Stamp"
	NotRunHeader       = "Not-Run"
	ExpectTargetHeader = "Expect-Instance"
	TeamHeader         = "Tenant"
	LastEventHeader    = "Last-Event-Id"
	// LeftHeader is the time that the caller waits, in milliseconds.
	LeftHeader = "Time-Left-Ms"
	// TokensHeader has the tokens of the prompt and the most of the output, PromptHeader the parts of the prompt.
	TokensHeader = "Token-Counts"
	PromptHeader = "Prompt-Prefix"
	// TargetHeader names the target in its answers about its health.
	TargetHeader = "Instance-Id"
)

// ReservedHeaders are the system's to set: targets must not get what callers send under these names.
var ReservedHeaders = []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Authorization"}
