package weblog_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/memorylog"
	"chestnutbay.dev/chestnutbay/internal/platform/weblog"
)

func decoder(text string) kernel.Decoder {
	return func(v any) error {
		d := yaml.NewDecoder(strings.NewReader(text))
		d.KnownFields(true)
		return d.Decode(v)
	}
}

func open(t *testing.T, h http.Handler) journal.Log {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	log, err := kernel.Build[journal.Log](journal.PluginKind, weblog.Name, decoder("url: "+s.URL+"\nwait: 0s\n"))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// TestRoundTrip guards against records, offsets or tails that differ between the
// service and the client.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := open(t, weblog.NewHandler(new(memorylog.Log)))
	payloads := []string{"a", "\x00\xff", strings.Repeat("x", 1<<20)}
	for i, p := range payloads {
		offset, err := log.Append(ctx, []byte(p))
		is.NoErr(err)
		is.Equal(offset, journal.Offset(i))
	}
	b, err := log.Read(ctx, 0, 2)
	is.NoErr(err)
	is.Equal(b.Next(), journal.Offset(2))
	is.True(!b.AtTail())
	b, err = log.Read(ctx, 1, 10)
	is.NoErr(err)
	is.True(b.AtTail())
	is.Equal(len(b.Records()), 2)
	is.Equal(string(b.Records()[1].Payload()), payloads[2])
	is.True(time.Since(b.Records()[0].Appended()) < time.Minute)
	b, err = log.Read(ctx, 3, 10)
	is.NoErr(err)
	is.True(b.AtTail() && b.Next() == 3 && len(b.Records()) == 0)
}

// TestOutcomes guards against an append that is reported as failed although it may
// have taken effect, and against responses whose missing records go unnoticed.
func TestOutcomes(t *testing.T) {
	respond := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(body))
		})
	}
	closeConnection := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	tests := []struct {
		name    string
		handler http.Handler
		append  error
		read    error
	}{
		{"refused append is reported as unknown", respond(503, ""), journal.ErrUnavailable, journal.ErrUnavailable},
		{"append refused for overload is reported as unknown", respond(429, ""), journal.ErrUnavailable, journal.ErrUnavailable},
		{"failed append is reported as without effect", respond(500, ""), journal.ErrUnknown, journal.ErrUnavailable},
		{"malformed response to an append is reported as without effect", respond(201, "{"), journal.ErrUnknown, journal.ErrUnavailable},
		{"lost response to an append is reported as without effect", closeConnection, journal.ErrUnknown, journal.ErrUnavailable},
		{"expired records are reported as an outage", respond(410, `{"earliest":7}`), journal.ErrUnknown, journal.ErrExpired},
		{"gap in the offsets is not noticed", respond(200, `{"records":[{"offset":4}],"next":5}`), journal.ErrUnknown, journal.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			log := open(t, tt.handler)
			_, err := log.Append(context.Background(), []byte("x"))
			is.True(errors.Is(err, tt.append))
			_, err = log.Read(context.Background(), 0, 1)
			is.True(errors.Is(err, tt.read))
			var expired *journal.Expired
			if errors.As(err, &expired) {
				is.Equal(expired.Earliest(), journal.Offset(7))
			}
		})
	}
}

// TestUnreachableService guards against an append that could not be sent but is
// reported as unknown. Operators would then look for it in the log.
func TestUnreachableService(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	log, err := weblog.New(s.URL, 0)
	is.NoErr(err)
	_, err = log.Append(context.Background(), []byte("x"))
	is.True(errors.Is(err, journal.ErrUnavailable))
	is.True(!errors.Is(err, journal.ErrUnknown))
}

// TestExpiry guards against a response to a read of expired records that lacks the
// earliest offset.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memorylog.New(time.Nanosecond)
	log := open(t, weblog.NewHandler(inner))
	_, err := log.Append(ctx, []byte("x"))
	is.NoErr(err)
	for err == nil {
		_, err = log.Read(ctx, 0, 1)
	}
	var expired *journal.Expired
	is.True(errors.As(err, &expired))
	is.Equal(expired.Earliest(), journal.Offset(1))
	b, err := log.Read(ctx, 1, 1)
	is.NoErr(err)
	is.True(b.AtTail())
	is.Equal(b.Earliest(), journal.Offset(1))
}

// TestSettings guards against invalid options that are accepted.
func TestSettings(t *testing.T) {
	tests := []struct{ name, plugin, settings, want string }{
		{"no address", weblog.Name, "wait: 1s", "url must be an http or https address"},
		{"other scheme", weblog.Name, "url: ftp://h/x", "url must be an http or https address"},
		{"wait above the limit", weblog.Name, "url: http://h\nwait: 1m", "wait must be from 0 to 2s"},
		{"wait is not a duration", weblog.Name, "url: http://h\nwait: long", "wait must be a duration"},
		{"unknown key", weblog.Name, "url: http://h\nretries: 3", "field retries not found"},
		{"retention is not a duration", memorylog.Name, "retention: never", "retention must be a positive duration"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := kernel.Build[journal.Log](journal.PluginKind, tt.plugin, decoder(tt.settings))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}
