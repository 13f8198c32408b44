// Package standin provides simple versions of the users' platform, its store, model engines and plain services,
// with fault injection, for tests and benchmarks.
package standin
