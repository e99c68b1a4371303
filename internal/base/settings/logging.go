package settings

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chestnutbay.dev/chestnutbay/internal/report/logging"
)

// Format is the format of the log lines.
type Format string

// Formats of log lines.
const (
	// JSON writes one JSON object per line, for log collectors.
	JSON Format = "json"
	// Terminal writes lines for people.
	Terminal Format = "terminal"
)

// Logging holds the format and the lowest level of the log lines, which go to
// standard error.
type Logging struct {
	format Format
	level  zapcore.Level
	file   loggingFile
}

type loggingFile struct {
	Format string `yaml:"format" doc:"Form of the log lines on standard error: json or terminal."`
	Level  string `yaml:"level" doc:"Lowest level that is written: debug, info, warn or error."`
}

func (l *Logging) key() string { return "logging" }

func (*Logging) about() string {
	return "The form of the log lines on standard error."
}

func (l *Logging) yamlFields() any {
	l.file = loggingFile{Format: string(JSON), Level: zapcore.InfoLevel.String()}
	return &l.file
}

func (l *Logging) load(c *checks) {
	l.format = Format(l.file.Format)
	if l.format != JSON && l.format != Terminal {
		c.addf("format", "must be %s or %s, is %q", JSON, Terminal, l.format)
	}
	level, err := zapcore.ParseLevel(l.file.Level)
	if err != nil || level > zapcore.ErrorLevel {
		c.addf("level", "must be debug, info, warn or error, is %q", l.file.Level)
	}
	l.level = level
}

// Format returns the format of the log lines.
func (l Logging) Format() Format { return l.format }

// Level returns the lowest level that is written.
func (l Logging) Level() zapcore.Level { return l.level }

// Logger returns a logger that writes to standard error.
func (l Logging) Logger() *zap.Logger {
	return l.LoggerTo(zapcore.Lock(os.Stderr))
}

// LoggerTo returns a logger that writes to w.
func (l Logging) LoggerTo(w zapcore.WriteSyncer) *zap.Logger {
	return zap.New(logging.PlainErrors(zapcore.NewCore(l.encoder(), w, l.level)))
}

func (l Logging) encoder() zapcore.Encoder {
	if l.format == Terminal {
		c := zap.NewDevelopmentEncoderConfig()
		c.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
		return zapcore.NewConsoleEncoder(c)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(c)
}
