// Package relay passes callers' connections, unread, from an instance whose processor is behind to others of its
// availability zone that have room: to copy bytes costs a fraction of what it takes to read and refuse a request.
package relay
