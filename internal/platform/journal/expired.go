package journal

import (
	"errors"
	"fmt"
)

// Expired is the error of a read from an offset whose record has expired. It
// matches ErrExpired and contains the offset at which reading can continue.
type Expired struct {
	earliest Offset
}

// NewExpired returns an Expired error. earliest is the first offset that has not
// expired.
func NewExpired(earliest Offset) *Expired {
	return &Expired{earliest: earliest}
}

// Earliest returns the first offset that has not expired.
func (e *Expired) Earliest() Offset { return e.earliest }

// Error returns a text with the earliest offset.
func (e *Expired) Error() string {
	return fmt.Sprintf("%v, earliest offset is %d", ErrExpired, e.earliest)
}

// Is makes errors.Is(err, ErrExpired) true.
func (e *Expired) Is(target error) bool { return errors.Is(ErrExpired, target) }
