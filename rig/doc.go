// Package rig starts fleets of real processes on the local machine, for integration tests and benchmarks, and injects
// faults into them.
package rig
