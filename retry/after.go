package retry

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxPause bounds how long a server gets nothing because it asked for that. A broken
// server may ask for any time.
const MaxPause = 5 * time.Minute

// ParseAfter returns how long a server asks to be left alone in a Retry-After header: a
// number of seconds, which may have fractions, or a date. It returns 0 for values that
// state no time to come.
func ParseAfter(now time.Time, text string) time.Duration {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
	}
	date, err := parseDate(text)
	if err != nil {
		return 0
	}
	return min(max(date.Sub(now), 0), MaxPause)
}

// dateLayouts are the formats of dates in HTTP headers (RFC 9110).
var dateLayouts = []string{"Mon, 02 Jan 2006 15:04:05 GMT", time.RFC850, time.ANSIC}

func parseDate(text string) (date time.Time, err error) {
	for _, layout := range dateLayouts {
		if date, err = time.Parse(layout, text); err == nil {
			return date, nil
		}
	}
	return time.Time{}, err
}
