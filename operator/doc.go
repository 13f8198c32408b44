// Package operator serves the operators' HTTP interface: it runs their statements, which query all instances or change
// the fleet's configuration.
package operator
