// Package jsonscan finds the ends of JSON values without decoding them. Unlike a decoder, it
// does not care how deeply a value is nested or whether its numbers fit, so that one value
// which cannot be decoded does not hide those beside it.
package jsonscan

import (
	"bytes"
	"strings"
)

// CutList splits an object into the JSON texts of the elements of one of its lists and the
// rest, which keeps an empty list. It reports false for a document that it cannot split with
// certainty; the texts and the rest are not checked otherwise.
func CutList(document []byte, list string) (rest []byte, elements [][]byte, ok bool) {
	s := scanner{data: document}
	if !s.take('{') {
		return nil, nil, false
	}
	var start, end int
	for first := true; !s.take('}'); first = false {
		if !first && !s.take(',') {
			return nil, nil, false
		}
		name, plain := s.name()
		if !plain || !s.take(':') {
			return nil, nil, false
		}
		if !strings.EqualFold(name, list) {
			if !s.skipValue() {
				return nil, nil, false
			}
			continue
		}
		s.skipSpace()
		start = s.at
		if elements, ok = s.elements(); !ok || end > 0 {
			return nil, nil, false
		}
		end = s.at
	}
	if end == 0 {
		return nil, nil, false
	}
	return bytes.Join([][]byte{document[:start], document[end:]}, []byte("[]")), elements, true
}

// scanner reads JSON values one after another. It checks no more than it needs for that.
type scanner struct {
	data []byte
	at   int
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.at < len(s.data) && (s.data[s.at] == ' ' || s.data[s.at] == '\n' || s.data[s.at] == '\t' || s.data[s.at] == '\r') {
		s.at++
	}
}

// take skips white space and a character, and reports whether the character was there.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.at >= len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// name returns the name of a member, and false if it has escapes.
func (s *scanner) name() (name string, plain bool) {
	s.skipSpace()
	start := s.at
	if !s.skipString() {
		return "", false
	}
	name = string(s.data[start+1 : s.at-1])
	return name, !strings.Contains(name, `\`)
}

func (s *scanner) skipString() bool {
	if s.at >= len(s.data) || s.data[s.at] != '"' {
		return false
	}
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// skipValue skips a value with everything in it.
func (s *scanner) skipValue() bool {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if !s.skipString() {
				return false
			}
			if depth == 0 {
				return true
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.at > start
			}
			if depth--; depth == 0 {
				s.at++
				return true
			}
		case ',':
			if depth == 0 {
				return s.at > start
			}
		}
		s.at++
	}
	return false
}

// elements returns the texts of a list's elements.
func (s *scanner) elements() (texts [][]byte, ok bool) {
	if !s.take('[') {
		return nil, false
	}
	for first := true; !s.take(']'); first = false {
		if !first && !s.take(',') {
			return nil, false
		}
		s.skipSpace()
		start := s.at
		if !s.skipValue() {
			return nil, false
		}
		texts = append(texts, s.data[start:s.at])
	}
	return texts, true
}
