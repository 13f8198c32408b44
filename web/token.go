package web

import (
	"crypto/subtle"
	"strings"
)

// BearerToken returns the bearer token of an Authorization header; empty if there is none.
func BearerToken(header string) string {
	token, is := strings.CutPrefix(header, "Bearer ")
	if !is {
		return ""
	}
	return token
}

// SameToken compares two tokens in constant time, to prevent timing attacks.
func SameToken(given, wanted string) bool {
	return subtle.ConstantTimeCompare([]byte(given), []byte(wanted)) == 1
}
