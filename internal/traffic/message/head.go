package message

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
)

// headEnd returns the length of the head at the start of raw, including its empty line,
// or 0 if the end of the head has not been received yet. The first searched bytes of
// raw were searched by earlier calls. A head longer than limit is an error.
func headEnd(raw []byte, searched, limit int) (int, *FramingError) {
	const empty = "\r\n\r\n"
	head := raw
	from := max(searched-len(empty)+1, 0)
	end := bytes.Index(raw[from:], []byte(empty))
	if end >= 0 {
		end += from + len(empty)
		head = raw[:end]
	}
	if len(head) > limit {
		return 0, &FramingError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the request's head is too large"}
	}
	for i := searched; i < len(head); i++ {
		if head[i] == '\n' && (i == 0 || head[i-1] != '\r') {
			return 0, malformed("a line of the head ends without CR")
		}
	}
	return max(end, 0), nil
}

// framing describes how a request's body is delimited: by chunks or by its length.
type framing struct {
	chunked bool
	length  int64
}

// head holds the parts of a request's head that determine its framing and its host.
type head struct {
	method          string
	target          string
	minorVersion    byte
	hosts           []string
	lengths         []string
	transferCodings []string
	credentials     []string // canonical names of the headers that carry a key
}

// checkHead parses a complete head. It accepts only heads that every parser understands
// in the same way.
func checkHead(raw []byte) (framing, *FramingError) {
	lines := strings.Split(string(raw[:len(raw)-4]), "\r\n")
	h, err := parseRequestLine(lines[0])
	if err != nil {
		return framing{}, err
	}
	for _, line := range lines[1:] {
		if err := h.addField(line); err != nil {
			return framing{}, err
		}
	}
	if err := h.checkHost(); err != nil {
		return framing{}, err
	}
	return h.framing()
}

func parseRequestLine(line string) (*head, *FramingError) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return nil, malformed("malformed request line")
	}
	h := &head{method: parts[0], target: parts[1]}
	switch parts[2] {
	case "HTTP/1.1":
		h.minorVersion = 1
	case "HTTP/1.0":
	default:
		return nil, &FramingError{status: http.StatusHTTPVersionNotSupported, reason: "only HTTP/1.0 and HTTP/1.1 are supported"}
	}
	if h.method == http.MethodConnect {
		return nil, &FramingError{status: http.StatusNotImplemented, reason: "CONNECT is not supported"}
	}
	for i := range len(h.target) {
		if b := h.target[i]; b <= ' ' || b >= 0x7f {
			return nil, malformed("malformed request target")
		}
	}
	if strings.IndexByte(h.target, '#') >= 0 {
		return nil, malformed("malformed request target")
	}
	return h, nil
}

// addField checks one header line and keeps its value if the framing depends on it.
func (h *head) addField(line string) *FramingError {
	if line != "" && (line[0] == ' ' || line[0] == '\t') {
		return malformed("a header is folded over several lines")
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return malformed("malformed header name")
	}
	value = strings.Trim(value, " \t")
	if !isFieldValue(value) {
		return malformed("malformed header value")
	}
	switch {
	case strings.EqualFold(name, "Host"):
		h.hosts = append(h.hosts, value)
	case strings.EqualFold(name, "Content-Length"):
		h.lengths = append(h.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.transferCodings = append(h.transferCodings, value)
	case carriesKey(name, value):
		return h.addCredential(name)
	case strings.EqualFold(name, "Expect"):
		if !strings.EqualFold(value, "100-continue") {
			return &FramingError{status: http.StatusExpectationFailed, reason: "unknown expectation"}
		}
	}
	return nil
}

// addCredential refuses a header that carries a key for the second time: the fleet and
// a target might each take another value of it.
func (h *head) addCredential(name string) *FramingError {
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	if slices.Contains(h.credentials, canonical) {
		return malformed("more than one " + canonical)
	}
	h.credentials = append(h.credentials, canonical)
	return nil
}

// carriesKey reports whether a header carries a key of the caller. An Authorization of
// another scheme than Bearer is the target's business.
func carriesKey(name, value string) bool {
	if strings.EqualFold(name, "Authorization") {
		_, ok := Bearer(value)
		return ok
	}
	return strings.EqualFold(name, KeyHeader)
}

// checkHost requires exactly one Host header, which HTTP/1.0 may omit. If the request
// target is an absolute URL, its host counts and the Host header is ignored, as RFC 9112
// asks; net/http does so too.
func (h *head) checkHost() *FramingError {
	if len(h.hosts) > 1 || (len(h.hosts) == 0 && h.minorVersion == 1) {
		return malformed("a request needs exactly one Host header")
	}
	for _, host := range h.hosts {
		if strings.IndexFunc(host, func(r rune) bool { return !isHostByte(r) }) >= 0 {
			return malformed("malformed Host header")
		}
	}
	if h.target == "*" && h.method == http.MethodOptions {
		return nil
	}
	u, err := url.ParseRequestURI(h.target)
	if err != nil {
		return malformed("malformed request target")
	}
	if h.target[0] == '/' {
		return nil
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
		return malformed("malformed request target")
	}
	return nil
}

// framing determines how the body is delimited. It refuses repeated and conflicting
// Content-Length and Transfer-Encoding headers.
func (h *head) framing() (framing, *FramingError) {
	if len(h.lengths) > 0 && len(h.transferCodings) > 0 {
		return framing{}, malformed("both Content-Length and Transfer-Encoding")
	}
	if len(h.lengths) > 1 {
		return framing{}, malformed("more than one Content-Length")
	}
	if len(h.transferCodings) > 1 {
		return framing{}, malformed("more than one Transfer-Encoding")
	}
	if len(h.transferCodings) == 1 {
		return h.checkCoding()
	}
	if len(h.lengths) == 0 {
		return framing{}, nil
	}
	n, ok := parseLength(h.lengths[0])
	if !ok {
		return framing{}, malformed("malformed Content-Length")
	}
	return framing{length: n}, nil
}

// checkCoding accepts only the transfer coding chunked, which HTTP/1.0 does not have.
func (h *head) checkCoding() (framing, *FramingError) {
	if h.minorVersion == 0 {
		return framing{}, malformed("Transfer-Encoding in HTTP/1.0")
	}
	if !strings.EqualFold(h.transferCodings[0], "chunked") {
		return framing{}, &FramingError{status: http.StatusNotImplemented, reason: "only the transfer encoding chunked is supported"}
	}
	return framing{chunked: true}, nil
}

func parseLength(s string) (int64, bool) {
	if s == "" || len(s) > maxLengthDigits {
		return 0, false
	}
	var n int64
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int64(s[i]-'0')
	}
	return n, true
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return true
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isFieldValue(s string) bool {
	for i := range len(s) {
		if b := s[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isHostByte(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return strings.ContainsRune("-._~:[]%!$&'()*+,;=", r)
}
