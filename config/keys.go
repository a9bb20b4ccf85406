package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hexadecimal SHA-256 hash of a team's API key, as in Team.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyTable looks up the team that an API key belongs to. It is immutable.
type KeyTable struct {
	teams map[string]*Team
}

// NewKeyTable returns a table with the API keys of all teams in doc.
func NewKeyTable(doc *Document) *KeyTable {
	table := &KeyTable{teams: make(map[string]*Team, len(doc.Teams))}
	for i := range doc.Teams {
		for _, hash := range doc.Teams[i].KeyHashes {
			table.teams[hash] = &doc.Teams[i]
		}
	}
	return table
}

// Team returns the team that key belongs to, or nil if the key is unknown.
func (t *KeyTable) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return t.teams[HashKey(key)]
}
