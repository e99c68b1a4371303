package transport

import (
	"bytes"
	"io"
)

// memoryBody is the type by which Send recognizes a body from MemoryBody.
type memoryBody struct {
	*bytes.Reader
}

// Close does nothing.
func (memoryBody) Close() error { return nil }

// MemoryBody returns a request body that Send writes together with the head, before it
// reads the response and without a goroutine of its own.
func MemoryBody(b []byte) io.ReadCloser {
	return memoryBody{Reader: bytes.NewReader(b)}
}
