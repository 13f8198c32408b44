// Package standin provides simple versions of the users' platform, its store, model engines and application servers,
// with fault injection, for tests and benchmarks.
package standin
