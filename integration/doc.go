// Package integration tests fleets of real processes: instances and gateways of the daemon, with stand-ins for
// the platform and the targets. Faults are injected into the processes, the stand-ins and the proxies between them.
package integration
