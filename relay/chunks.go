package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxChunkLine bounds the line before a chunk with its extensions, and a line of
	// the trailer.
	maxChunkLine = 1 << 10
	// maxTrailerBytes bounds the trailer after the last chunk.
	maxTrailerBytes = 4 << 10
	// maxChunkOverhead bounds what the lines before the chunks may add up to beyond
	// the data: a broken server may send extensions without end.
	maxChunkOverhead = 16 << 10
	// overheadPerByte is the overhead that each byte of data makes up for.
	overheadPerByte = 16
)

var errMalformedChunk = errors.New("malformed chunked body")

// chunkReader decodes a chunked body. Unlike the reader of net/http, it returns the
// data that has arrived before it waits for the next chunk, which may be late: an
// event must not be held back by the part of the next one.
type chunkReader struct {
	reader *bufio.Reader
	// left is what remains of the current chunk. inChunk is set until the line end
	// after it has been read.
	left    uint64
	inChunk bool
	// overhead is what lines have taken beyond what the data makes up for.
	overhead int
	err      error
}

// Read returns data of one chunk at most.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.err == nil && c.left == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	c.overhead = max(c.overhead-overheadPerByte*n, 0)
	if err != nil {
		c.err = truncated(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// Close implements io.Closer; the connection is closed by its owner.
func (c *chunkReader) Close() error { return nil }

// truncated returns the error of a header or a body that ends too early.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextChunk reads up to the data of the next chunk, or up to the end of the body.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformedChunk
		}
		c.inChunk = false
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil {
		return errMalformedChunk
	}
	if n == 0 {
		return c.readTrailer()
	}
	c.left, c.inChunk = n, true
	return nil
}

// readTrailer reads the lines after the last chunk and returns io.EOF at their end.
func (c *chunkReader) readTrailer() error {
	for left := maxTrailerBytes; left > 0; {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		left -= len(line)
	}
	return errMalformedChunk
}

// readLine returns a line without its end, valid until the next read.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return nil, truncated(err)
	}
	c.overhead += len(line)
	if err != nil || len(line) > maxChunkLine || c.overhead > maxChunkOverhead {
		return nil, errMalformedChunk
	}
	line, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd || bytes.IndexByte(line, '\r') >= 0 {
		// Programs differ on what a line feed or a carriage return alone means.
		return nil, errMalformedChunk
	}
	return line, nil
}
