package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the test results reproducible.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

type httpOptions struct {
	URL  string `yaml:"url"`
	Size int    `yaml:"size"`
}

func init() {
	kernel.Register(journal.PluginKind, "http", kernel.Factory[journal.Log](func(decode kernel.Decoder) (journal.Log, error) {
		return nil, decode(new(httpOptions))
	}))
	kernel.Register(roster.PluginKind, "http", kernel.Factory[roster.List](func(decode kernel.Decoder) (roster.List, error) {
		var o httpOptions
		if err := decode(&o); err != nil {
			return nil, err
		}
		if o.URL == "" {
			return nil, errors.New("url must be set")
		}
		return nil, nil
	}))
}

// example returns the example of the reference with replacements, and with a
// secret that needs no file.
func example(replacements ...string) string {
	text := strings.Replace(settings.Example, "secret_file: /etc/chestnutbay/fleet.secret", "secret: 0123456789abcdef", 1)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			panic("the example holds no " + replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return text
}

// Guards against an example in the reference that the program rejects, and
// against values that are read into the wrong setting.
func TestExample(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("node.yaml", strings.NewReader(example()))
	is.NoErr(err)
	is.Equal(s.Node().ID(), "entry-01")
	is.Equal(s.Node().Zone(), "north")
	is.Equal(s.Listen().Callers().String(), "10.0.0.7:8080")
	is.Equal(s.Listen().Peers().String(), "10.0.0.7:7000")
	is.Equal(s.Listen().Operators().String(), "10.0.0.7:9000")
	is.Equal(s.Fleet().VMs(), 48)
	is.Equal(string(s.Fleet().Secret()), "0123456789abcdef")
	is.Equal(s.Log().Plugin(), "http")
	is.Equal(s.Shutdown().Lag(), 5*time.Second)
	is.Equal(s.Shutdown().Limit(), 30*time.Minute)
	is.Equal(s.Logging().Format(), settings.JSON)
	is.Equal(s.Logging().Level(), zapcore.InfoLevel)
	is.Equal(s.Operators().Credentials()[0].Name(), "alice")
	var o httpOptions
	is.NoErr(s.Roster().Options()(&o))
	is.Equal(o.URL, "http://10.0.9.1:8200")
}

// Guards against defaults that differ from the reference when sections are left out.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	text := example("shutdown:\n  lag: 5s\n  limit: 30m\n", "", "logging:\n  format: json\n  level: info\n", "logging:\n")
	s, err := settings.Parse("node.yaml", strings.NewReader(text))
	is.NoErr(err)
	is.Equal(s.Shutdown().Lag(), settings.DefaultLag)
	is.Equal(s.Shutdown().Limit(), settings.DefaultLimit)
	is.Equal(s.Logging().Format(), settings.JSON)
}

// Guards against a mistake in the settings that is not found, or is reported
// without the line and key that an operator needs to correct it.
func TestProblems(t *testing.T) {
	for _, tt := range []struct {
		name     string
		old, new string
		want     string
	}{
		{name: "name with a capital", old: "id: entry-01", new: "id: Entry", want: `node.yaml:2: node.id: must be 1 to 63 lower-case letters, digits or dashes, is "Entry"`},
		{name: "zone is missing", old: "  zone: north\n", new: "", want: `node.yaml:2: node.zone: must be`},
		{name: "section is missing", old: "node:\n  id: entry-01\n  zone: north\n", new: "", want: `node.yaml: node.id: must be`},
		{name: "section is not a mapping", old: "node:\n  id: entry-01\n  zone: north\n", new: "node: 5\n", want: "node.yaml:1: node: must be a mapping, is `5`"},
		{name: "section is unknown", old: "shutdown:", new: "shutdwn:", want: "node.yaml:19: shutdwn: unknown section"},
		{name: "section is given twice", old: "shutdown:", new: "fleet:", want: "node.yaml:19: fleet: section is given twice"},
		{name: "key is unknown", old: "level: info", new: "levl: info", want: "node.yaml:24: logging.levl: unknown key"},
		{name: "key is given twice", old: "level: info", new: "format: json", want: `node.yaml:24: logging.format: mapping key "format" already defined at line 23`},
		{name: "key in a list is unknown", old: "- name: alice", new: "- nam: alice", want: "node.yaml:27: operators.credentials[0].nam: unknown key"},
		{name: "host name instead of IP number", old: "10.0.0.7:8080", new: "entry.example:8080", want: `node.yaml:5: listen.callers: must be an IP number and port such as "10.0.0.7:8080", is "entry.example:8080"`},
		{name: "address without port", old: "10.0.0.7:7000", new: "10.0.0.7", want: "node.yaml:6: listen.peers: must be an IP number"},
		{name: "address is used twice", old: "10.0.0.7:9000", new: "10.0.0.7:8080", want: "node.yaml:7: listen.operators: is the same address as listen.callers"},
		{name: "fleet without VMs", old: "vms: 48", new: "vms: 0", want: "node.yaml:9: fleet.vms: must be from 1 to 2200, is 0"},
		{name: "number is text", old: "vms: 48", new: "vms: many", want: "node.yaml:9: fleet.vms: must be a whole number, is `many`"},
		{name: "short secret", old: "0123456789abcdef", new: "0123456789abcde", want: "node.yaml:10: fleet.secret: must be at least 16 bytes, is 15"},
		{name: "two secrets", old: "secret: 0123456789abcdef", new: "secret: 0123456789abcdef\n  secret_file: x", want: "node.yaml:11: fleet.secret_file: must not be given together with fleet.secret"},
		{name: "secret file is missing", old: "secret: 0123456789abcdef", new: "secret_file: does/not/exist", want: "node.yaml:10: fleet.secret_file: cannot be read"},
		{name: "no plug-in", old: "plugin: http", new: "plugin: ''", want: "node.yaml:12: log.plugin: must name a plug-in, known are [http]"},
		{name: "unknown plug-in", old: "plugin: http", new: "plugin: memry", want: `node.yaml:12: log.plugin: is unknown, known are [http], is "memry"`},
		{name: "unknown option of a plug-in", old: "url: http://10.0.9.1:8100", new: "addr: x", want: "node.yaml:14: log.options.addr: unknown key"},
		{name: "option of the wrong type", old: "url: http://10.0.9.1:8100", new: "size: x", want: "node.yaml:14: log.options.size: must be a whole number, is `x`"},
		{name: "option that the plug-in rejects", old: "url: http://10.0.9.1:8200", new: "size: 1", want: "node.yaml:18: roster.options: kernel.Build: roster http: url must be set"},
		{name: "duration without unit", old: "lag: 5s", new: "lag: 5", want: `node.yaml:20: shutdown.lag: must be a duration such as "30s", is "5"`},
		{name: "negative duration", old: "lag: 5s", new: "lag: -5s", want: "node.yaml:20: shutdown.lag: must be from 0s to 5m0s, is -5s"},
		{name: "limit that ends every request at once", old: "limit: 30m", new: "limit: 0s", want: "node.yaml:21: shutdown.limit: must be from 1s to 24h0m0s, is 0s"},
		{name: "unknown format", old: "format: json", new: "format: xml", want: `node.yaml:23: logging.format: must be json or terminal, is "xml"`},
		{name: "level that hides errors", old: "level: info", new: "level: fatal", want: `node.yaml:24: logging.level: must be debug, info, warn or error, is "fatal"`},
		{name: "no operator", old: "operators:\n  credentials:\n    - name: alice\n      sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n", new: "operators: {}\n", want: "node.yaml:25: operators.credentials: must name at least one operator"},
		{name: "token instead of its hash", old: "sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", new: "sha256: my-token", want: "node.yaml:28: operators.credentials[0].sha256: must be the SHA-256 of a token"},
		{name: "hash of an empty token", old: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", new: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", want: "node.yaml:28: operators.credentials[0].sha256: is the hash of an empty token"},
		{name: "operator is listed twice", old: "operators:\n  credentials:\n", new: "operators:\n  credentials:\n    - {name: alice, sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08}\n", want: `node.yaml:28: operators.credentials[1].name: "alice" is listed twice`},
		{name: "token is listed twice", old: "operators:\n  credentials:\n", new: "operators:\n  credentials:\n    - {name: bob, sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08}\n", want: "node.yaml:29: operators.credentials[1].sha256: is listed twice"},
		{name: "second document", old: "operators:\n  cred", new: "---\noperators:\n  cred", want: "node.yaml:25: must be the end: a settings file is one YAML document"},
		{name: "invalid YAML", old: "node:", new: "node: [", want: "node.yaml:"},
		{name: "list instead of sections", old: example(), new: "- a\n", want: "node.yaml:1: must be sections with keys"},
		{name: "empty file", old: example(), new: "", want: "node.yaml: fleet.vms: must be"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Parse("node.yaml", strings.NewReader(example(tt.old, tt.new)))
			is.True(errors.Is(err, settings.ErrInvalid))
			is.True(s == nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got:\n%v\nwant:\n%s", err, tt.want)
			}
		})
	}
}

// Guards against reporting only the first problem. An operator would then have to
// correct and check the file once for each problem.
func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := example("vms: 48", "vms: x", "lag: 5s", "lag: 5", "level: info", "level: loud", "zone: north", "zone: North")
	_, err := settings.Parse("node.yaml", strings.NewReader(text))
	lines := strings.Split(err.Error(), "\n")
	is.Equal(len(lines), 4) // a value that cannot be read is reported once
	for i, prefix := range []string{"node.yaml:3: node.zone", "node.yaml:9: fleet.vms", "node.yaml:20: shutdown.lag", "node.yaml:24: logging.level"} {
		is.True(strings.HasPrefix(lines[i], prefix)) // in the order of the file
	}
}

// Guards against log lines that a collector or a person cannot read, and
// against stack traces within them.
func TestLogLines(t *testing.T) {
	for _, tt := range []struct{ format, want string }{
		{format: "json", want: `"msg":"node failed","node":"a","error":"port in use"}` + "\n"},
		{format: "terminal", want: "ERROR\tnode failed\t{\"node\": \"a\", \"error\": \"port in use\"}\n"},
	} {
		t.Run(tt.format, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Parse("node.yaml", strings.NewReader(example("format: json", "format: "+tt.format)))
			is.NoErr(err)
			var b strings.Builder
			logger := s.Logging().LoggerTo(zapcore.AddSync(&b)).With(zap.String("node", "a"))
			logger.Debug("hidden")
			logger.Error("node failed", zap.Error(merry.New("port in use")))
			is.True(strings.HasSuffix(b.String(), tt.want))
			is.Equal(strings.Count(b.String(), "\n"), 1)
		})
	}
}

// Guards against a secret that differs between nodes because an editor added a
// newline at the end of the file.
func TestSecretFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	text := example("secret: 0123456789abcdef", "secret_file: "+path)
	file := filepath.Join(t.TempDir(), "node.yaml")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	is.NoErr(err)
	is.Equal(string(s.Fleet().Secret()), "0123456789abcdef")
	_, err = settings.Load(file + ".missing")
	is.True(errors.Is(err, settings.ErrInvalid))
}

// Guards against a damaged file that crashes the program instead of being reported.
func TestDamagedFiles(t *testing.T) {
	text := example()
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		n := rapid.IntRange(0, len(text)-at).Draw(t, "cut")
		insert := rapid.SampledFrom([]string{"", "[", "{", ": ", "\n- ", "\n", "&a ", "*a", "!!int ", "\t", "x"}).Draw(t, "insert")
		s, err := settings.Parse("node.yaml", strings.NewReader(text[:at]+insert+text[at+n:]))
		if (s == nil) == (err == nil) || (err != nil && !errors.Is(err, settings.ErrInvalid)) {
			t.Fatalf("settings %v, error %v", s, err)
		}
	})
}

// Guards against a reference that lacks a key or names an outdated default.
func TestReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(settings.WriteReference(&b))
	page, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	if string(page) != b.String() {
		t.Fatal("docs/settings.md is not current; run: go run ./cmd/chestnutbay reference > docs/settings.md")
	}
}
