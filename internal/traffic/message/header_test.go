package message_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// TestRetryAfter guards against a Retry-After that takes an instance out of use for too
// long or not at all.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name, value, date string
		want              time.Duration
	}{
		{name: "no header"},
		{name: "seconds", value: "7", want: 7 * time.Second},
		{name: "a fraction", value: " 0.25 ", want: 250 * time.Millisecond},
		{name: "zero", value: "0"},
		{name: "negative", value: "-3"},
		{name: "not a number", value: "nan"},
		{name: "text", value: "soon"},
		{name: "two values", value: "1, 2"},
		{name: "more than the bound", value: "86400", want: message.MaxRetryAfter},
		{name: "infinite", value: "Inf", want: message.MaxRetryAfter},
		{name: "out of range", value: "1e400", want: message.MaxRetryAfter},
		{name: "negative and out of range", value: "-1e400"},
		{name: "a date", value: "Sun, 01 Mar 2026 12:00:30 GMT", want: 30 * time.Second},
		{name: "a date by the sender's clock", value: "Sun, 01 Mar 2026 13:00:05 GMT", date: "Sun, 01 Mar 2026 13:00:00 GMT", want: 5 * time.Second},
		{name: "a past date", value: "Sun, 01 Mar 2026 11:00:00 GMT"},
		{name: "a date far ahead", value: "Sun, 01 Mar 2099 11:00:00 GMT", want: message.MaxRetryAfter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{}
			if tt.value != "" {
				h.Set("Retry-After", tt.value)
			}
			if tt.date != "" {
				h.Set("Date", tt.date)
			}
			is.New(t).Equal(message.RetryAfter(h, now), tt.want)
		})
	}
}
