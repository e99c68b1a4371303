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

// Headers that the gateway exchanges with callers and targets.
const (
	// OutcomeHeader carries the Outcome of a request to the caller.
	OutcomeHeader = "Chestnutbay-Outcome"
	// RequestIDHeader carries the request ID to the target and the caller.
	RequestIDHeader = "Chestnutbay-Request"
	// DeadlineHeader carries the milliseconds until the deadline, from the caller and
	// to the target.
	DeadlineHeader = "Chestnutbay-Deadline-Ms"
	// KeyHeader carries the caller's key.
	KeyHeader = message.KeyHeader
	// NotRunHeader is "true" in a target's response with status 503 if the target
	// refused the request without running it.
	NotRunHeader = "Chestnutbay-Not-Run"
)

const (
	// reservedPrefix starts the names of all headers that the fleet defines.
	reservedPrefix = "Chestnutbay-"
	// bearerScheme is the Authorization scheme of keys.
	bearerScheme = "bearer"
	// minKeyLength is the length from which a presented key is searched for in all
	// headers. Shorter values are not keys and would match by chance.
	minKeyLength = 16
	// requestIDBytes is the length of a request ID. 96 random bits do not collide at
	// 120,000 requests/s within the hours that an operator looks back.
	requestIDBytes = 12
)

func newRequestID() string {
	var b [requestIDBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// presentedKeys returns the distinct keys that a request presents in its headers.
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

// carriesKey reports whether a header value contains a key in any form. Every bearer
// value of Authorization counts, also without a space after "Bearer", because a
// lenient target may accept that.
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

// containsKey reports whether one of the keys is a substring of s.
func containsKey(s string, keys []string) bool {
	for _, k := range keys {
		if len(k) >= minKeyLength && strings.Contains(s, k) {
			return true
		}
	}
	return false
}

// endToEnd reports whether a header may be passed on between caller and target. Headers
// that the fleet defines are never passed on. connectionNames are the header names
// listed in the Connection header.
func endToEnd(name string, connectionNames []string) bool {
	return message.EndToEnd(name, connectionNames) && !strings.HasPrefix(message.Canonical(name), reservedPrefix)
}

// targetHeaders returns the headers of a caller's request that are sent to a target,
// without keys, and adds those of a proxy.
func targetHeaders(r *http.Request, keys []string) http.Header {
	connectionNames := message.ConnectionNames(r.Header)
	headers := make(http.Header, len(r.Header)+5)
	for name, values := range r.Header {
		if !endToEnd(name, connectionNames) {
			continue
		}
		if slices.ContainsFunc(values, func(v string) bool { return carriesKey(name, v, keys) }) {
			values = slices.DeleteFunc(slices.Clone(values), func(v string) bool { return carriesKey(name, v, keys) })
		}
		if len(values) > 0 {
			headers[name] = values
		}
	}
	if message.HasToken(r.Header, "Te", "trailers") {
		headers["Te"] = []string{"trailers"}
	}
	if headers["User-Agent"] == nil {
		headers["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		headers["X-Forwarded-For"] = []string{strings.Join(append(headers["X-Forwarded-For"], host), ", ")}
	}
	headers["Via"] = append(slices.Clip(headers["Via"]), "1.1 chestnutbay")
	delete(headers, "Expect")
	return headers
}

// copyCallerHeaders copies the headers of a target's response that may be passed on
// to the caller.
func copyCallerHeaders(dst, src http.Header) {
	connectionNames := message.ConnectionNames(src)
	for name, values := range src {
		if endToEnd(name, connectionNames) {
			dst[name] = values
		}
	}
}

// trailerNames returns the sorted names of the trailers that may be passed on.
func trailerNames(trailer http.Header) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(trailer)) {
		if endToEnd(name, nil) && name != "Authorization" {
			names = append(names, name)
		}
	}
	return names
}
