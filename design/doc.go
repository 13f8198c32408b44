// Package design describes the HTTP APIs for callers and operators in goa's language; folder gen is generated from it.
package design
