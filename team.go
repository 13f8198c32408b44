package coltsfootlink

import (
	"crypto/sha256"
	"encoding/hex"
)

// TeamName identifies a team.
type TeamName string

// Team shares the targets of every pool with the other teams, in proportion to its weight.
type Team struct {
	Name TeamName
	// Weight scales the team's fair share; it is positive.
	Weight float64
	// TokenHash is the hexadecimal SHA-256 of the team's token.
	TokenHash string
}

// WithWeight returns the team with another weight.
func (team Team) WithWeight(weight float64) Team {
	team.Weight = weight
	return team
}

// WithToken returns the team with the hash of the given token.
func (team Team) WithToken(token string) Team {
	team.TokenHash = HashToken(token)
	return team
}

// HashToken returns the hexadecimal SHA-256 of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
