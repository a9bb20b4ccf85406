package settings

import (
	"crypto/pbkdf2"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	passwordScheme = "pbkdf2-sha256"
	// defaultIterations is the OWASP recommendation for PBKDF2 with SHA-256.
	defaultIterations = 600_000
	// minIterations keeps brute-forcing a stolen hash expensive.
	minIterations = 100_000
	// maxIterations limits the CPU time of one sign-in.
	maxIterations = 10_000_000
	saltBytes     = 16
)

// PasswordHash is the salted hash of the operators' password. The zero value
// matches no password.
type PasswordHash struct {
	iterations int
	salt, hash []byte
}

// HashPassword hashes a password with a salt read from random.
func HashPassword(password string, random io.Reader) (PasswordHash, error) {
	return hashPassword(password, random, defaultIterations)
}

func hashPassword(password string, random io.Reader, iterations int) (PasswordHash, error) {
	salt := make([]byte, saltBytes)
	if _, err := io.ReadFull(random, salt); err != nil {
		return PasswordHash{}, err
	}
	hash, err := pbkdf2.Key(sha256.New, password, salt, iterations, sha256.Size)
	if err != nil {
		return PasswordHash{}, err
	}
	return PasswordHash{iterations, salt, hash}, nil
}

// ParsePasswordHash parses the format that String returns.
func ParsePasswordHash(text string) (PasswordHash, error) {
	var h PasswordHash
	err := h.parse(text)
	return h, err
}

func (h *PasswordHash) parse(text string) error {
	malformed := errors.New("not a password hash of the form " + passwordScheme + "$iterations$salt$hash")
	parts := strings.Split(text, "$")
	if len(parts) != 4 || parts[0] != passwordScheme {
		return malformed
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil {
		return malformed
	}
	if iterations < minIterations || iterations > maxIterations {
		return fmt.Errorf("the number of iterations must be between %d and %d", minIterations, maxIterations)
	}
	salt, err := base64.RawStdEncoding.DecodeString(parts[2])
	if err != nil || len(salt) < saltBytes {
		return malformed
	}
	hash, err := base64.RawStdEncoding.DecodeString(parts[3])
	if err != nil || len(hash) != sha256.Size {
		return malformed
	}
	*h = PasswordHash{iterations, salt, hash}
	return nil
}

// String returns the hash in the format of the settings file, or "" for the zero value.
func (h PasswordHash) String() string {
	if !h.IsSet() {
		return ""
	}
	encode := base64.RawStdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d$%s$%s", passwordScheme, h.iterations, encode(h.salt), encode(h.hash))
}

// IsSet reports whether h contains a hash; the zero value does not.
func (h PasswordHash) IsSet() bool {
	return len(h.hash) > 0
}

// Matches reports whether password is the hashed password.
func (h PasswordHash) Matches(password string) bool {
	if !h.IsSet() {
		return false
	}
	hash, err := pbkdf2.Key(sha256.New, password, h.salt, h.iterations, len(h.hash))
	return err == nil && subtle.ConstantTimeCompare(hash, h.hash) == 1
}
