// Package message handles HTTP/1.1 messages on the callers' side: it refuses
// ambiguous framing before net/http resolves the ambiguity, reads bodies that make
// progress, tells end-to-end headers from those of one connection, and breaks a
// transfer so that it does not pass for a whole one.
//
// # Usage
//
//	secret := message.NewSecret()
//	listener := message.NewListener(l, secret, func() int { return 64 << 10 })
//	// in the handler of a server on that listener:
//	if err := message.RefusedHead(r.Header, secret); err != nil {
//		http.Error(w, err.Reason(), err.Status())
//		return
//	}
//	body := message.NewBody(r, http.NewResponseController(w), time.Minute)
package message

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// refusedHeader marks the stand-in for a request whose framing was refused. Its
// value starts with the gateway's secret, so that callers cannot make it.
const refusedHeader = "Chestnutbay-Refused"

const (
	// maxLeadingLines is how many empty lines may come before a request.
	maxLeadingLines = 2
	// maxLengthDigits bounds a Content-Length to what fits into 63 bits.
	maxLengthDigits = 18
	// framingBuffer is the first size of the buffer for a head in several pieces.
	framingBuffer = 4 << 10
)

// FramingError says what is ambiguous or malformed in a request.
type FramingError struct {
	status int
	reason string
}

// Status returns the HTTP status of the refusal.
func (e *FramingError) Status() int { return e.status }

// Reason says what is wrong, in a few words.
func (e *FramingError) Reason() string { return e.reason }

// Error gives the reason.
func (e *FramingError) Error() string { return "message: " + e.reason }

func malformed(reason string) *FramingError {
	return &FramingError{status: http.StatusBadRequest, reason: reason}
}

var errRefusedBefore = merry.Sentinel("message: the connection carried a malformed request")

// Listener checks the framing of what its connections carry.
type Listener struct {
	net.Listener
	secret  string
	maxHead func() int
}

// NewListener returns a listener that refuses heads of more than maxHead bytes.
// The secret marks the stand-ins for refused requests; see RefusedHead.
func NewListener(l net.Listener, secret string, maxHead func() int) *Listener {
	return &Listener{Listener: l, secret: secret, maxHead: maxHead}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c, secret: l.secret, maxHead: l.maxHead()}, nil
}

// framedConn hands over one request at a time, and only after its head has been
// checked. net/http resolves some ambiguities in silence, for example both a
// Content-Length and a Transfer-Encoding, and answers others without our
// headers. Instead of a refused head the connection hands over a well-formed
// request that the handler knows and refuses, so that the refusal comes after the
// answers to earlier requests.
type framedConn struct {
	net.Conn
	secret  string
	maxHead int

	raw   []byte // received, not yet handed over
	ready int    // how much of raw may be handed over
	state framingState
	seen  int   // how much of raw has been searched for the head's end
	left  int64 // of a body with a length
	chunk chunkScanner
	err   error
}

type framingState int

const (
	inHead framingState = iota
	inLength
	inChunks
	inRefusal
)

var framingBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, framingBuffer)
	return &b
}}

// CloseWrite lets net/http close in the order that keeps the last answer readable.
func (c *framedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read hands over checked bytes.
func (c *framedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if c.ready > 0 {
			return c.take(p), nil
		}
		if c.err != nil {
			return 0, c.err
		}
		if len(c.raw) > 0 && c.advance() {
			continue
		}
		n, err := c.receive(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// take hands over bytes that are ready.
func (c *framedConn) take(p []byte) int {
	n := copy(p, c.raw[:c.ready])
	c.ready -= n
	c.drop(n)
	return n
}

// drop removes bytes from the front of raw, and gives an empty buffer back.
func (c *framedConn) drop(n int) {
	rest := copy(c.raw, c.raw[n:])
	c.raw = c.raw[:rest]
	if rest > 0 {
		return
	}
	if b := c.raw; cap(b) == framingBuffer {
		framingBuffers.Put(&b)
	}
	c.raw = nil
}

// stash appends received bytes.
func (c *framedConn) stash(p []byte) {
	if c.raw == nil {
		c.raw = *framingBuffers.Get().(*[]byte)
	}
	c.raw = append(c.raw, p...)
}

// receive reads from the network. It returns 0 bytes when they were stashed.
func (c *framedConn) receive(p []byte) (int, error) {
	if c.state == inLength {
		p = p[:min(int64(len(p)), c.left)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	switch c.state {
	case inLength:
		c.left -= int64(n)
		if c.left == 0 {
			c.state = inHead
		}
		return n, err
	case inChunks:
		k := c.scan(p[:n])
		if k < n {
			c.stash(p[k:n])
		}
		return k, nil
	default:
		c.stash(p[:n])
		return 0, nil
	}
}

// advance looks at the stashed bytes and reports whether that led anywhere.
func (c *framedConn) advance() bool {
	switch c.state {
	case inLength:
		c.ready = int(min(int64(len(c.raw)), c.left))
		c.left -= int64(c.ready)
		if c.left == 0 {
			c.state = inHead
		}
		return true
	case inChunks:
		c.ready = c.scan(c.raw)
		return true
	case inHead:
		return c.advanceHead()
	default:
		return false
	}
}

// scan follows a chunked body and returns how many bytes belong to it.
func (c *framedConn) scan(p []byte) int {
	n, done, err := c.chunk.scan(p)
	if err != nil {
		c.err = err
		return n
	}
	if done {
		c.state = inHead
	}
	return n
}

func (c *framedConn) advanceHead() bool {
	for range maxLeadingLines {
		if !bytes.HasPrefix(c.raw, []byte("\r\n")) {
			break
		}
		c.drop(2)
	}
	end, err := headEnd(c.raw, c.seen, c.maxHead)
	if err != nil {
		c.refuse(err)
		return true
	}
	c.seen = len(c.raw)
	if end == 0 {
		return false
	}
	c.seen = 0
	f, err := checkHead(c.raw[:end])
	if err != nil {
		c.refuse(err)
		return true
	}
	c.ready = end
	switch {
	case f.chunked:
		c.state = inChunks
		c.chunk = chunkScanner{}
	case f.length > 0:
		c.state = inLength
		c.left = f.length
	}
	return true
}

// refuse puts the stand-in in the place of the head. Nothing after it is read.
func (c *framedConn) refuse(e *FramingError) {
	c.raw = fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n%s: %s %d %s\r\n\r\n",
		refusedHeader, c.secret, e.status, e.reason)
	c.ready = len(c.raw)
	c.state = inRefusal
	c.err = errRefusedBefore
}

// RefusedHead returns the error that a stand-in stands for, or nil.
func RefusedHead(h http.Header, secret string) *FramingError {
	rest, ok := strings.CutPrefix(h.Get(refusedHeader), secret+" ")
	if !ok {
		return nil
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		return nil
	}
	return &FramingError{status: status, reason: reason}
}

// headEnd returns the length of the head with its empty line, or 0 when it is
// not there yet. The first seen bytes were searched before.
func headEnd(raw []byte, seen, limit int) (int, *FramingError) {
	const empty = "\r\n\r\n"
	head := raw
	from := max(seen-len(empty)+1, 0)
	end := bytes.Index(raw[from:], []byte(empty))
	if end >= 0 {
		end += from + len(empty)
		head = raw[:end]
	}
	if len(head) > limit {
		return 0, &FramingError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the request's head is too large"}
	}
	for i := seen; i < len(head); i++ {
		if head[i] == '\n' && (i == 0 || head[i-1] != '\r') {
			return 0, malformed("a line of the head ends without CR")
		}
	}
	return max(end, 0), nil
}

// framing says how a request's body is delimited.
type framing struct {
	chunked bool
	length  int64
}

// head collects what matters for the framing.
type head struct {
	method  string
	target  string
	minor   byte
	hosts   []string
	lengths []string
	codings []string
}

// checkHead accepts only heads that every parser reads in one way.
func checkHead(raw []byte) (framing, *FramingError) {
	lines := strings.Split(string(raw[:len(raw)-4]), "\r\n")
	h, err := parseRequestLine(lines[0])
	if err != nil {
		return framing{}, err
	}
	for _, line := range lines[1:] {
		if err := h.field(line); err != nil {
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
		h.minor = 1
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

// field checks one header line.
func (h *head) field(line string) *FramingError {
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
		h.codings = append(h.codings, value)
	case strings.EqualFold(name, "Expect"):
		if !strings.EqualFold(value, "100-continue") {
			return &FramingError{status: http.StatusExpectationFailed, reason: "unknown expectation"}
		}
	}
	return nil
}

// checkHost wants one host, and the same in an absolute target.
func (h *head) checkHost() *FramingError {
	if len(h.hosts) > 1 || (len(h.hosts) == 0 && h.minor == 1) {
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
	if len(h.hosts) == 1 && !strings.EqualFold(u.Host, h.hosts[0]) {
		return malformed("the request target and the Host header name different hosts")
	}
	return nil
}

// framing decides how the body is delimited.
func (h *head) framing() (framing, *FramingError) {
	if len(h.lengths) > 0 && len(h.codings) > 0 {
		return framing{}, malformed("both Content-Length and Transfer-Encoding")
	}
	if len(h.lengths) > 1 {
		return framing{}, malformed("more than one Content-Length")
	}
	if len(h.codings) > 1 {
		return framing{}, malformed("more than one Transfer-Encoding")
	}
	if len(h.codings) == 1 {
		return h.coding()
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

func (h *head) coding() (framing, *FramingError) {
	if h.minor == 0 {
		return framing{}, malformed("Transfer-Encoding in HTTP/1.0")
	}
	if !strings.EqualFold(h.codings[0], "chunked") {
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
