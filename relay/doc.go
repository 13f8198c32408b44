// Package relay decides, before anything is read, what becomes of callers' connections while the processor is behind: they
// are passed on to others of the availability zone that have room, refused, or served here all the same.
package relay
