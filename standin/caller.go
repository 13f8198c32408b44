package standin

import (
	"fmt"
	"net/http"
	"time"

	"coltsfootlink/platform"
)

// callerModel is the model that stand-in callers name.
const callerModel = "m"

// SetCaller puts what a caller says of a request into its headers; the target is the one that has to have it, empty for
// any.
func SetCaller(header http.Header, head platform.CallerHead, target string) {
	prompt := ""
	for place, part := range head.Work.Prompt {
		if place > 0 {
			prompt += ","
		}
		prompt += fmt.Sprintf("%x:%d", part.Key, part.Tokens)
	}
	header.Set(RequestIDHeader, string(head.ID))
	header.Set(LeftHeader, fmt.Sprint(time.Until(head.Deadline).Milliseconds()))
	header.Set("Authorization", "Bearer "+head.Key)
	header.Set("Model", callerModel)
	header.Set(TokensHeader, fmt.Sprintf("%d,%d", head.Work.PromptTokens, head.Work.OutputTokens))
	header.Set(PromptHeader, prompt)
	if target != "" {
		header.Set(ExpectTargetHeader, target)
	}
}
