package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// Headers between callers, the fleet and targets.
const (
	// OutcomeHeader tells the caller what became of its request.
	OutcomeHeader = "Chestnutbay-Outcome"
	// RequestHeader carries the request's identity to the target and the caller.
	RequestHeader = "Chestnutbay-Request"
	// DeadlineHeader carries the remaining milliseconds, from the caller and to
	// the target.
	DeadlineHeader = "Chestnutbay-Deadline-Ms"
	// KeyHeader carries the caller's key.
	KeyHeader = "Chestnutbay-Key"
	// NotRunHeader is a target's documented refusal, with status 503.
	NotRunHeader = "Chestnutbay-Not-Run"
)

const (
	// reservedPrefix starts every header of the fleet's own.
	reservedPrefix = "Chestnutbay-"
	// bearerScheme is the Authorization scheme of keys.
	bearerScheme = "bearer"
	// minSecret is the length from which a presented key is looked for in all
	// headers. Shorter ones are not keys and would match by chance.
	minSecret = 16
	// identityBytes is the length of a request's identity. 96 bits do not collide
	// at 120,000 requests/s within the hours that an operator looks back.
	identityBytes = 12
)

func newIdentity() string {
	var b [identityBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// presentedKeys returns the distinct keys that a request shows.
func presentedKeys(h http.Header) []string {
	var keys []string
	add := func(key string) {
		if key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, v := range h["Authorization"] {
		if key, ok := message.Bearer(v); ok {
			add(key)
		}
	}
	for _, v := range h[KeyHeader] {
		add(v)
	}
	return keys
}

// carriesKey reports whether a header value shows a key in any form. A lenient
// target may read "Bearer" without a space after it, too.
func carriesKey(name, value string, keys []string) bool {
	if name == "Authorization" {
		for part := range strings.SplitSeq(value, ",") {
			part = textproto.TrimString(part)
			if len(part) >= len(bearerScheme) && strings.EqualFold(part[:len(bearerScheme)], bearerScheme) {
				return true
			}
		}
	}
	return containsKey(value, keys)
}

func containsKey(s string, keys []string) bool {
	for _, k := range keys {
		if len(k) >= minSecret && strings.Contains(s, k) {
			return true
		}
	}
	return false
}

// endToEnd reports whether a header may pass from one side to the other. The
// fleet's own headers never do.
func endToEnd(name string, named []string) bool {
	return message.EndToEnd(name, named) && !strings.HasPrefix(message.Canonical(name), reservedPrefix)
}

// towardsTarget returns the headers that go out with a request.
func towardsTarget(r *http.Request, keys []string) http.Header {
	named := message.ConnectionNames(r.Header)
	out := make(http.Header, len(r.Header)+5)
	for name, values := range r.Header {
		if !endToEnd(name, named) {
			continue
		}
		if slices.ContainsFunc(values, func(v string) bool { return carriesKey(name, v, keys) }) {
			values = slices.DeleteFunc(slices.Clone(values), func(v string) bool { return carriesKey(name, v, keys) })
		}
		if len(values) > 0 {
			out[name] = values
		}
	}
	if message.HasToken(r.Header, "Te", "trailers") {
		out["Te"] = []string{"trailers"}
	}
	if out["User-Agent"] == nil {
		out["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		out["X-Forwarded-For"] = []string{strings.Join(append(out["X-Forwarded-For"], host), ", ")}
	}
	out["Via"] = append(slices.Clip(out["Via"]), "1.1 chestnutbay")
	delete(out, "Expect")
	return out
}

// towardsCaller copies the headers of an answer that callers may see.
func towardsCaller(dst, src http.Header) {
	named := message.ConnectionNames(src)
	for name, values := range src {
		if endToEnd(name, named) {
			dst[name] = values
		}
	}
}

// trailerNames returns the names of the announced trailers that may pass.
func trailerNames(t http.Header) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t)) {
		if endToEnd(name, nil) && name != "Authorization" {
			names = append(names, name)
		}
	}
	return names
}
