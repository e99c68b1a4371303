package message

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// bearerScheme is the Authorization scheme in which callers present their keys.
	bearerScheme = "bearer"
	// secretBytes is the length of the random value that NewSecret returns in hex.
	secretBytes = 16
)

// hopByHop lists headers that apply to one connection only, and those that net/http sets
// itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Http2-Settings":      true,
}

// NewSecret returns a random secret for NewListener that callers cannot guess.
func NewSecret() string {
	var b [secretBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// Canonical returns the header name as a lenient target may understand it. CGI does not
// distinguish an underscore from a dash, so "Content_Length" may count as
// "Content-Length" there.
func Canonical(name string) string {
	if strings.IndexByte(name, '_') < 0 {
		return name
	}
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// EndToEnd reports whether a header is forwarded between callers and targets. It is
// false for hop-by-hop headers, for those in named, which the Connection header lists,
// and for names that a lenient target may take for Content-Length, Host or
// Authorization.
func EndToEnd(name string, named []string) bool {
	c := Canonical(name)
	if hopByHop[c] {
		return false
	}
	if c != name && (c == "Content-Length" || c == "Host" || c == "Authorization") {
		return false
	}
	return !slices.Contains(named, name)
}

// ConnectionNames returns the header names that the Connection header lists, in
// canonical form.
func ConnectionNames(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// HasToken reports whether the comma-separated list in a header contains a token. Case
// and parameters after a semicolon are ignored. The header's name must be canonical.
func HasToken(h http.Header, name, token string) bool {
	for _, v := range h[name] {
		for part := range strings.SplitSeq(v, ",") {
			part, _, _ = strings.Cut(part, ";")
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// Bearer returns the token of an Authorization header's value. It reports false if the
// value has a scheme other than Bearer. The token may be empty.
func Bearer(v string) (string, bool) {
	v = textproto.TrimString(v)
	if len(v) < len(bearerScheme) || !strings.EqualFold(v[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	token := v[len(bearerScheme):]
	if token != "" && token[0] != ' ' && token[0] != '\t' {
		return "", false
	}
	return textproto.TrimString(token), true
}

// MaxRetryAfter is the longest time that RetryAfter returns. A sender that asks for more
// is asked again after that time.
const MaxRetryAfter = 2 * time.Minute

// RetryAfter returns how long the sender of a response asks not to get further requests.
// Retry-After holds seconds, which may have a fraction, or a date, which counts from the
// response's Date. RetryAfter returns 0 without the header, for a value that cannot be
// parsed, and for one that is not in the future; more than MaxRetryAfter is cut to it.
func RetryAfter(h http.Header, now time.Time) time.Duration {
	v := textproto.TrimString(h.Get("Retry-After"))
	if v == "" {
		return 0
	}
	if at, err := http.ParseTime(v); err == nil {
		if date, err := http.ParseTime(h.Get("Date")); err == nil {
			now = date
		}
		return min(max(at.Sub(now), 0), MaxRetryAfter)
	}
	// An error of ErrRange comes with an infinite value.
	seconds, err := strconv.ParseFloat(v, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}
