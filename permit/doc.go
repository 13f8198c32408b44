// Package permit decides which permits the owner of a shard grants. It tracks the permits that are held on each
// target, the backlog of the instances and the concurrency limits, as immutable values that send and receive nothing
// themselves.
package permit
