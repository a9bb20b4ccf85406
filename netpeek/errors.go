package netpeek

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// IsConnectionEnd reports whether an exchange failed because the peer's side of the
// connection ended, as it does when the peer crashes.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
