// Package move shifts the traffic of a pool to a new version in stages. It rolls the move back if statistical tests find
// that requests on the new version fail or are slow.
package move
