// Package standin provides fakes of the platform's services, of backend servers and
// of a network, for tests, benchmarks and the development program. They are not part
// of the daemon or of the command-line tool.
package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The model computes hashes. A token depends on every layer and on every position
// before it, so a skipped, repeated or reordered layer changes the text and fails
// the test.

// vocabulary maps token IDs to words.
var vocabulary = strings.Fields(`the a flange billet die press hammer quote slot tender forging steel shift yard
order sheet decal roundel kit livery scale number ship name paint gloss matt varnish water film club build stock
post delay line heat batch crew week early late spare shop part ring shaft gear hub axle plate bar rod weld bolt
blue red white gold black grey green yellow silver`)

// stopOneIn is the inverse of the probability that a token ends the answer.
const stopOneIn = 400

// FinishStop and FinishLength are the finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// kvCache is the KV cache of one request on one engine: one value for each layer of its range.
type kvCache struct {
	Positions uint32   `json:"positions"`
	Values    []uint64 `json:"values"`
}

func newKVCache(layers int) *kvCache {
	return &kvCache{Values: make([]uint64, layers)}
}

// forward runs one position through layers [first, first+len(Values)).
func (kv *kvCache) forward(first uint32, x uint64) uint64 {
	for i := range kv.Values {
		layer := uint64(first) + uint64(i)
		kv.Values[i] = mix(kv.Values[i], x, layer)
		x = mix(x, kv.Values[i], layer)
	}
	kv.Positions++
	return x
}

func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}

func promptInput(prompt string) uint64 { return xxhash.Sum64String(prompt) }

func tokenInput(token uint32) uint64 { return mix(uint64(token), 1, 2) }

// tokenOf converts the output of the last layer into a token.
func tokenOf(x uint64) (id uint32, text string, stop bool) {
	id = uint32(x % uint64(len(vocabulary)))
	return id, " " + vocabulary[id], (x>>32)%stopOneIn == 0
}

// Generate returns the tokens' texts and the finish reason that a correct pipeline
// returns for a prompt.
func Generate(layers int, prompt string, maxTokens uint32) (texts []string, finish string) {
	kv := newKVCache(layers)
	x := promptInput(prompt)
	for count := uint32(1); ; count++ {
		id, text, stop := tokenOf(kv.forward(0, x))
		texts = append(texts, text)
		if stop {
			return texts, FinishStop
		}
		if count == maxTokens {
			return texts, FinishLength
		}
		x = tokenInput(id)
	}
}
