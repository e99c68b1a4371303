package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"
)

// Document is what an operator publishes: a *Contract or a *Service.
type Document interface {
	// Check returns every problem of the document, or nil if it is valid.
	Check() []Problem
	document()
}

func (*Contract) document() {}
func (*Service) document()  {}

// contractFile is the form of a contract in YAML files and, as JSON, in the log.
type contractFile struct {
	Account     string              `yaml:"account" json:"account"`
	Rate        float64             `yaml:"rate" json:"rate"`
	Burst       float64             `yaml:"burst" json:"burst"`
	Keys        []string            `yaml:"keys,omitempty" json:"keys,omitempty"`
	Services    []serviceAccessFile `yaml:"services,omitempty" json:"services,omitempty"`
	Deadline    string              `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	RetryBudget *float64            `yaml:"retry_budget,omitempty" json:"retry_budget,omitempty"`
	Objective   float64             `yaml:"objective,omitempty" json:"objective,omitempty"`
}

type serviceAccessFile struct {
	Service string   `yaml:"service" json:"service"`
	Floor   *float64 `yaml:"floor,omitempty" json:"floor,omitempty"`
}

// serviceFile is the form of a service in YAML files and, as JSON, in the log.
type serviceFile struct {
	Service         string      `yaml:"service" json:"service"`
	Slots           int         `yaml:"slots,omitempty" json:"slots,omitempty"`
	Connections     int         `yaml:"connections,omitempty" json:"connections,omitempty"`
	Ramp            string      `yaml:"ramp,omitempty" json:"ramp,omitempty"`
	TrustedRefusals bool        `yaml:"trusted_refusals,omitempty" json:"trusted_refusals,omitempty"`
	Detection       Detection   `yaml:"detection,omitempty" json:"detection,omitempty"`
	Routes          []routeFile `yaml:"routes" json:"routes"`
}

type routeFile struct {
	Name       string   `yaml:"name" json:"name"`
	Host       string   `yaml:"host,omitempty" json:"host,omitempty"`
	Path       string   `yaml:"path" json:"path"`
	Methods    []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	Class      Class    `yaml:"class,omitempty" json:"class,omitempty"`
	Idempotent bool     `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	Open       bool     `yaml:"open,omitempty" json:"open,omitempty"`
}

// Decode reads one document from YAML: a contract when it has the key
// "account", otherwise a service. Unknown keys are problems. The error lists
// every problem and matches ErrInvalid.
func Decode(r io.Reader) (Document, error) {
	var node yaml.Node
	d := yaml.NewDecoder(r)
	if err := d.Decode(&node); err != nil {
		if errors.Is(err, io.EOF) {
			err = merry.New("the document is empty")
		}
		return nil, &Problems{list: []Problem{{text: err.Error()}}}
	}
	// A second document would be ignored silently, so it is refused.
	var secondDocument yaml.Node
	if err := d.Decode(&secondDocument); !errors.Is(err, io.EOF) {
		return nil, &Problems{list: []Problem{{line: secondDocument.Line, text: "must be one document"}}}
	}
	if hasKey(&node, "account") {
		return decodeContract(&node)
	}
	return decodeService(&node)
}

func decodeContract(node *yaml.Node) (*Contract, error) {
	var f contractFile
	list := DecodeStrict(node, &f)
	c := new(Contract)
	list = append(list, c.setFromFile(f)...)
	return c, checkDocument(node, list, c)
}

func (c *Contract) setFromFile(f contractFile) []Problem {
	var list []Problem
	*c = Contract{
		account:   f.Account,
		rate:      f.Rate,
		burst:     f.Burst,
		objective: f.Objective,
	}
	for i, k := range f.Keys {
		h, err := ParseKeyHash(k)
		if err != nil {
			list = append(list, Problem{key: fmt.Sprintf("keys[%d]", i), text: "must be the SHA-256 of a key in 64 hexadecimal digits"})
		}
		c.keys = append(c.keys, h)
	}
	for _, u := range f.Services {
		floor := DefaultFloor
		if u.Floor != nil {
			floor = *u.Floor
		}
		c.services = append(c.services, ServiceAccess{service: u.Service, floor: floor})
	}
	c.deadline = parseDuration(f.Deadline, "deadline", &list)
	c.setDefaults()
	if f.RetryBudget != nil {
		c.retryBudget = *f.RetryBudget
	}
	return list
}

func decodeService(node *yaml.Node) (*Service, error) {
	var f serviceFile
	list := DecodeStrict(node, &f)
	s := new(Service)
	list = append(list, s.setFromFile(f)...)
	return s, checkDocument(node, list, s)
}

func (s *Service) setFromFile(f serviceFile) []Problem {
	var list []Problem
	*s = Service{name: f.Service, slots: f.Slots, connections: f.Connections, trustRefusals: f.TrustedRefusals, detection: f.Detection}
	ramp := parseDuration(f.Ramp, "ramp", &list)
	for _, r := range f.Routes {
		s.routes = append(s.routes, Route{
			name: r.Name, host: r.Host, path: r.Path, methods: r.Methods,
			class: r.Class, idempotent: r.Idempotent, open: r.Open,
		})
	}
	s.setDefaults()
	if f.Ramp != "" {
		s.ramp = ramp
	}
	return list
}

func checkDocument(node *yaml.Node, list []Problem, d Document) error {
	if !hasDuplicateKey(list) {
		list = append(list, d.Check()...)
	}
	for i := range list {
		if list[i].line == 0 {
			list[i].line = lineOf(node, list[i].key)
		}
	}
	return NewProblems(list)
}

// hasDuplicateKey reports whether one of the problems is a key that is set twice. The
// YAML library does not decode a mapping with such a key, so a check of the document
// would only report the missing values of the mapping.
func hasDuplicateKey(list []Problem) bool {
	return slices.ContainsFunc(list, func(p Problem) bool { return strings.HasPrefix(p.text, "mapping key ") })
}

func parseDuration(s, key string, list *[]Problem) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		*list = append(*list, Problem{key: key, text: `must be a duration such as "30s", is "` + s + `"`})
	}
	return d
}

// Encode returns the document as YAML that Decode reads back.
func Encode(d Document) ([]byte, error) {
	switch d := d.(type) {
	case *Contract:
		return yaml.Marshal(d.toFile())
	case *Service:
		return yaml.Marshal(d.toFile())
	}
	return nil, merry.Errorf("contract.Encode: %T: %w", d, ErrInvalid)
}

// MarshalJSON returns the form that is stored in the log.
func (c *Contract) MarshalJSON() ([]byte, error) { return json.Marshal(c.toFile()) }

// MarshalJSON returns the form that is stored in the log.
func (s *Service) MarshalJSON() ([]byte, error) { return json.Marshal(s.toFile()) }

// UnmarshalJSON reads the form that is stored in the log and checks the contract.
// The error lists every problem and matches ErrInvalid.
func (c *Contract) UnmarshalJSON(data []byte) error {
	var f contractFile
	if err := unmarshalStrict(data, &f); err != nil {
		return err
	}
	list := c.setFromFile(f)
	return NewProblems(append(list, c.Check()...))
}

// UnmarshalJSON reads the form that is stored in the log and checks the service.
// The error lists every problem and matches ErrInvalid.
func (s *Service) UnmarshalJSON(data []byte) error {
	var f serviceFile
	if err := unmarshalStrict(data, &f); err != nil {
		return err
	}
	list := s.setFromFile(f)
	return NewProblems(append(list, s.Check()...))
}

func unmarshalStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return NewProblems([]Problem{{text: err.Error()}})
	}
	return nil
}

func (c *Contract) toFile() contractFile {
	f := contractFile{
		Account: c.account, Rate: c.rate, Burst: c.burst,
		Deadline: c.deadline.String(), RetryBudget: &c.retryBudget, Objective: c.objective,
	}
	for _, k := range c.keys {
		f.Keys = append(f.Keys, k.String())
	}
	for _, u := range c.services {
		floor := u.floor
		f.Services = append(f.Services, serviceAccessFile{Service: u.service, Floor: &floor})
	}
	return f
}

func (s *Service) toFile() serviceFile {
	f := serviceFile{Service: s.name, Slots: s.slots, Connections: s.connections, Ramp: s.ramp.String(), TrustedRefusals: s.trustRefusals, Detection: s.detection}
	for _, r := range s.routes {
		f.Routes = append(f.Routes, routeFile{
			Name: r.name, Host: r.host, Path: r.path, Methods: r.methods,
			Class: r.class, Idempotent: r.idempotent, Open: r.open,
		})
	}
	return f
}
