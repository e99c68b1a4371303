package logging

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// PlainErrors returns a core that writes only the message of each error field to c.
// Without it, zap also writes the stack trace of an error that has one, which makes
// lines of several kilobytes.
func PlainErrors(c zapcore.Core) zapcore.Core { return plainErrors{c} }

// plainErrors implements PlainErrors.
type plainErrors struct {
	zapcore.Core
}

func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plainFields(fields))}
}

func (c plainErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, c)
}

func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plainFields(fields))
}

// plainFields returns a copy of fields with each error replaced by its message.
func plainFields(fields []zapcore.Field) []zapcore.Field {
	list := slices.Clone(fields)
	for i, f := range list {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			list[i] = zap.String(f.Key, err.Error())
		}
	}
	return list
}
