// Package front is the HTTP service for callers on a node: it validates requests, acquires permits for them and streams
// the targets' answers.
package front
