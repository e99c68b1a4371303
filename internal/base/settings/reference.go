package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

const referenceHead = `# Settings

<!-- Written by "go run ./cmd/chestnutbay reference"; a test fails when this page is not current. -->

A node reads its settings from one YAML file with the sections below. Unknown
keys are refused. ` + "`chestnutbay check FILE`" + ` prints every problem with file, line and
key. Durations are written as in Go, such as ` + "`30s`" + ` or ` + "`5m`" + `.

A node learns everything else (contracts, services, availability zones that are
out, withdrawn keys) from the log.
`

const referenceTail = `
## Example

` + "```yaml\n" + Example + "```\n"

// Example is a complete settings file for one node of a small fleet.
const Example = `node:
  id: entry-01
  zone: north
listen:
  callers: 10.0.0.7:8080
  peers: 10.0.0.7:7000
  operators: 10.0.0.7:9000
fleet:
  vms: 48
  secret_file: /etc/chestnutbay/fleet.secret
log:
  plugin: http
  options:
    url: http://10.0.9.1:8100
roster:
  plugin: http
  options:
    url: http://10.0.9.1:8200
shutdown:
  lag: 5s
  limit: 30m
logging:
  format: json
  level: info
operators:
  credentials:
    - name: alice
      sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

// WriteReference writes the reference of all settings in Markdown, generated
// from the types that the file is read into.
func WriteReference(w io.Writer) error {
	_, err := io.WriteString(w, reference())
	return err
}

func reference() string {
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, s := range new(Settings).sections() {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| key | type | default | meaning |\n|---|---|---|---|\n", s.key(), s.about())
		writeKeys(&b, "", reflect.ValueOf(s.yamlFields()).Elem())
	}
	b.WriteString(referenceTail)
	return b.String()
}

// writeKeys writes one table row for each key of a struct, and for the keys of list
// items below it.
func writeKeys(b *strings.Builder, prefix string, fields reflect.Value) {
	for i := range fields.NumField() {
		field := fields.Type().Field(i)
		key := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
		value := fields.Field(i)
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, typeOf(field.Type), defaultOf(value), field.Tag.Get("doc"))
		if value.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			writeKeys(b, key+"[].", reflect.Zero(field.Type.Elem()))
		}
	}
}

func typeOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "number"
	case reflect.Slice:
		return "list"
	case reflect.Struct:
		return "mapping"
	default:
		return t.Kind().String()
	}
}

func defaultOf(v reflect.Value) string {
	if v.IsZero() {
		return "–"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
