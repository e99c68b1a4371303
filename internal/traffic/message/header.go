package message

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

const (
	// bearerScheme is the Authorization scheme of keys.
	bearerScheme = "bearer"
	// secretBytes is the length of the mark on refused requests.
	secretBytes = 16
)

// hopByHop are headers that are meant for one connection only, and those that
// net/http sets itself.
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

// NewSecret returns a random mark that callers cannot guess.
func NewSecret() string {
	var b [secretBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// Canonical returns the name under which a lenient target may read a header:
// CGI does not tell an underscore from a dash.
func Canonical(name string) string {
	if strings.IndexByte(name, '_') < 0 {
		return name
	}
	return textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
}

// EndToEnd reports whether a header may pass from one side to the other. named are
// the headers that the Connection header names.
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

// ConnectionNames returns the headers that the Connection header names.
func ConnectionNames(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

// HasToken reports whether a header lists a token.
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

// Bearer returns the token of an Authorization value of that scheme.
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
