package message

const (
	// maxChunkDigits bounds a chunk's size to what fits into 60 bits.
	maxChunkDigits = 15
	// maxChunkExtension bounds what follows a chunk's size.
	maxChunkExtension = 256
	// maxTrailerBytes bounds the trailers; net/http accepts no more.
	maxTrailerBytes = 4 << 10
)

// chunkScanner follows the chunked coding up to the end of the message. The zero
// value is at its start.
type chunkScanner struct {
	state chunkState
	left  int64
	count int // digits, or bytes of an extension or of the trailers
	name  bool
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerLine
	trailerLF
	trailerEndLF
)

// scan consumes bytes up to the end of the message.
func (s *chunkScanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		if s.state == chunkData {
			k := min(int64(len(p)-n), s.left)
			s.left -= k
			n += int(k)
			if s.left == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		done, err = s.step(p[n])
		if err != nil {
			return n, false, err
		}
		n++
		if done {
			return n, true, nil
		}
	}
	return n, false, nil
}

// step consumes one byte outside of the data.
func (s *chunkScanner) step(b byte) (bool, error) {
	switch s.state {
	case chunkSize:
		return false, s.size(b)
	case chunkExtension:
		return false, s.extension(b)
	case chunkSizeLF:
		return false, s.expect(b, '\n', s.afterSize())
	case chunkDataCR:
		return false, s.expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		return false, s.expect(b, '\n', chunkSize)
	case trailerStart, trailerLine:
		return false, s.trailer(b)
	case trailerLF:
		return false, s.expect(b, '\n', trailerStart)
	default:
		return true, s.expect(b, '\n', chunkSize)
	}
}

func (s *chunkScanner) expect(b, want byte, next chunkState) error {
	if b != want {
		return malformed("malformed chunk")
	}
	s.state = next
	s.count = 0
	return nil
}

func (s *chunkScanner) afterSize() chunkState {
	if s.left == 0 {
		return trailerStart
	}
	return chunkData
}

func (s *chunkScanner) size(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && s.count < maxChunkDigits:
		if s.count == 0 {
			s.left = 0
		}
		s.count++
		s.left = s.left<<4 | digit
	case b == ';' && s.count > 0:
		s.state = chunkExtension
		s.count = 0
	case b == '\r' && s.count > 0:
		s.state = chunkSizeLF
	default:
		return malformed("malformed chunk size")
	}
	return nil
}

func (s *chunkScanner) extension(b byte) error {
	s.count++
	switch {
	case b == '\r':
		s.state = chunkSizeLF
	case b < ' ' && b != '\t' || b == 0x7f || s.count > maxChunkExtension:
		return malformed("malformed chunk extension")
	}
	return nil
}

// trailer checks the lines after the last chunk. expect resets the count at each
// line, so left, which is 0 here, counts all of them.
func (s *chunkScanner) trailer(b byte) error {
	s.left++
	if s.left > maxTrailerBytes {
		return malformed("the trailers are too large")
	}
	if s.state == trailerStart {
		s.name = true
		if b == '\r' {
			s.state = trailerEndLF
			return nil
		}
		s.state = trailerLine
	}
	return s.trailerByte(b)
}

func (s *chunkScanner) trailerByte(b byte) error {
	s.count++
	switch {
	case s.name && b == ':' && s.count > 1:
		s.name = false
	case s.name && !isTokenByte(b):
		return malformed("malformed trailer")
	case b == '\r':
		s.state = trailerLF
	case b < ' ' && b != '\t' || b == 0x7f:
		return malformed("malformed trailer")
	}
	return nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
