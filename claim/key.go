package claim

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
)

// maxKeySkew is how far the time in a key may be ahead of the entry's clock. A
// key with a later time would still be valid after its record has expired from
// the log.
const maxKeySkew = time.Minute

// KeyTime returns the timestamp of a key that is a UUID version 7.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	digits := strings.ReplaceAll(key, "-", "")
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 0b10 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range raw[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// checkKeyTime refuses a key that carries a time outside the window. It needs no
// record, so it also covers keys whose records have expired from the log.
func checkKeyTime(key string, window time.Duration, now time.Time) (Refuse, bool) {
	at, ok := KeyTime(key)
	if !ok {
		return Refuse{}, false
	}
	if now.Sub(at) > window {
		return Refuse{Code: CodeKeyExpired, Executed: attempt.ExecutedNo}, true
	}
	if at.Sub(now) > maxKeySkew {
		return Refuse{Code: CodeInvalidRequest, Executed: attempt.ExecutedNo}, true
	}
	return Refuse{}, false
}
