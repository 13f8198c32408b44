package standin

import (
	"fmt"
	"net/http"
	"time"

	"coltsfootlink/platform"
)

// callerModel is the model name that stand-in callers send with each request.
const callerModel = "m"

// SetCallerHeaders sets the headers that a caller on the users' platform sends with a request. If target is not empty,
// only the target of this name accepts the request.
func SetCallerHeaders(header http.Header, head platform.CallerHead, target string) {
	prompt := ""
	for index, part := range head.Work.Prompt {
		if index > 0 {
			prompt += ","
		}
		prompt += fmt.Sprintf("%x:%d", part.Key, part.Tokens)
	}
	header.Set(RequestIDHeader, string(head.ID))
	header.Set(TimeLeftHeader, fmt.Sprint(time.Until(head.Deadline).Milliseconds()))
	header.Set("Authorization", "Bearer "+head.Key)
	header.Set("Model", callerModel)
	header.Set(TokensHeader, fmt.Sprintf("%d,%d", head.Work.PromptTokens, head.Work.OutputTokens))
	header.Set(PromptHeader, prompt)
	if target != "" {
		header.Set(ExpectTargetHeader, target)
	}
}
