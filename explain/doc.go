// Package explain tells where a request would go, and why, from what the instance that receives it and the owners of the
// targets would decide. Nothing is sent or reserved for the request.
package explain
