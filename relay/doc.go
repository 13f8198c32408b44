// Package relay decides what happens to new connections from callers while the instance is short of CPU, before
// anything is read from them: they are forwarded to other instances of the zone that have capacity, refused, or served
// here.
package relay
