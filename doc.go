// Package coltsfootlink holds the core types of the router fleet and the
// interfaces for behaviour that varies; implementations live in the packages
// below it.
package coltsfootlink
