package transport

import (
	"errors"
	"io"

	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// responseBody is the response's body. The attempt ends when it has been read to the
// end, fails or is closed.
type responseBody struct {
	attempt *Attempt
	src     io.Reader
	err     error
}

// Read returns io.EOF only after the whole body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	b.err = err
	if errors.Is(err, io.EOF) {
		b.attempt.finish()
		return n, io.EOF
	}
	b.attempt.fail(err, evidence.Malformed)
	return n, err
}

// Close ends the attempt.
func (b *responseBody) Close() error {
	b.attempt.Close()
	return nil
}
