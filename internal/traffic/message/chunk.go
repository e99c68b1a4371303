package message

const (
	// maxChunkSizeDigits bounds a chunk's size to 15 hexadecimal digits, which are 60
	// bits and fit into an int64.
	maxChunkSizeDigits = 15
	// maxChunkExtensionBytes bounds the extensions that follow a chunk's size.
	maxChunkExtensionBytes = 256
	// maxTrailerBytes bounds all trailers together; net/http accepts no more.
	maxTrailerBytes = 4 << 10
)

// chunkScanner finds the end of a message in the chunked transfer coding, and checks the
// coding on the way. The zero value is ready to scan the start of a body.
type chunkScanner struct {
	state     chunkState
	remaining int64 // bytes that remain of the chunk's data; see also scanTrailer
	count     int   // digits of the size, or bytes of the extension or of the trailer line
	inName    bool  // the scanned byte belongs to the name of a trailer
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

// scan consumes bytes of p up to the end of the message. It returns how many bytes it
// consumed and whether the message has ended. An error is a *FramingError.
func (s *chunkScanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		if s.state == chunkData {
			k := min(int64(len(p)-n), s.remaining)
			s.remaining -= k
			n += int(k)
			if s.remaining == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		done, err = s.scanByte(p[n])
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

// scanByte consumes one byte that is not chunk data, and reports whether it was the last
// one of the message.
func (s *chunkScanner) scanByte(b byte) (bool, error) {
	switch s.state {
	case chunkSize:
		return false, s.scanSize(b)
	case chunkExtension:
		return false, s.scanExtension(b)
	case chunkSizeLF:
		return false, s.expect(b, '\n', s.afterSize())
	case chunkDataCR:
		return false, s.expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		return false, s.expect(b, '\n', chunkSize)
	case trailerStart, trailerLine:
		return false, s.scanTrailer(b)
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
	if s.remaining == 0 {
		return trailerStart
	}
	return chunkData
}

func (s *chunkScanner) scanSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && s.count < maxChunkSizeDigits:
		if s.count == 0 {
			s.remaining = 0
		}
		s.count++
		s.remaining = s.remaining<<4 | digit
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

func (s *chunkScanner) scanExtension(b byte) error {
	s.count++
	switch {
	case b == '\r':
		s.state = chunkSizeLF
	case b < ' ' && b != '\t' || b == 0x7f || s.count > maxChunkExtensionBytes:
		return malformed("malformed chunk extension")
	}
	return nil
}

// scanTrailer checks the lines after the last chunk. It counts the bytes of all
// trailers in remaining, which is 0 after the last chunk, because expect resets count
// at each line.
func (s *chunkScanner) scanTrailer(b byte) error {
	s.remaining++
	if s.remaining > maxTrailerBytes {
		return malformed("the trailers are too large")
	}
	if s.state == trailerStart {
		s.inName = true
		if b == '\r' {
			s.state = trailerEndLF
			return nil
		}
		s.state = trailerLine
	}
	return s.scanTrailerByte(b)
}

func (s *chunkScanner) scanTrailerByte(b byte) error {
	s.count++
	switch {
	case s.inName && b == ':' && s.count > 1:
		s.inName = false
	case s.inName && !isTokenByte(b):
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
