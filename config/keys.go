package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the form in which a document holds a team's key: its SHA-256
// hash in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyTable finds the team of a key. It is immutable.
type KeyTable struct {
	teams map[string]*Team
}

// NewKeyTable returns the table of a document's teams.
func NewKeyTable(doc *Document) *KeyTable {
	table := &KeyTable{teams: make(map[string]*Team, len(doc.Teams))}
	for i := range doc.Teams {
		for _, hash := range doc.Teams[i].KeyHashes {
			table.teams[hash] = &doc.Teams[i]
		}
	}
	return table
}

// Team returns the team that holds a key, or nil.
func (t *KeyTable) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return t.teams[HashKey(key)]
}
