// Package option provides a generic optional value.
package option

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an option with the value v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, ok: true} }

// None returns an absent option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value, or def if it is absent.
func (o Option[T]) Or(def T) T {
	if o.ok {
		return o.value
	}
	return def
}
