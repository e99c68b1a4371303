package message_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// lastBytes is the rest of a body whose last read calls during before it returns.
type lastBytes struct {
	during func()
}

func (b lastBytes) Read(p []byte) (int, error) {
	b.during()
	return copy(p, "x"), io.EOF
}

func (lastBytes) Close() error { return nil }

// TestInterruptAtEnd guards against a connection that is kept although its body was
// interrupted while its last bytes arrived: the deadline in the past ends net/http's
// background read, which cancels the contexts of all later requests on the connection.
func TestInterruptAtEnd(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.ContentLength = 1
	var body *message.Body
	r.Body = lastBytes{during: func() { body.Interrupt() }}
	body = message.NewBody(r, http.NewResponseController(httptest.NewRecorder()), time.Second)
	_, err := body.Read(make([]byte, 8))
	is.Equal(err, io.EOF)
	is.True(body.MustClose())
}
