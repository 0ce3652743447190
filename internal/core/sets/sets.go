// Package sets provides a generic set.
package sets

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty, read-only set.
type Set[T comparable] map[T]struct{}

// New returns a set of the given values.
func New[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add adds v to the set and reports whether it was absent.
func (s Set[T]) Add(v T) bool {
	if s.Has(v) {
		return false
	}
	s[v] = struct{}{}
	return true
}

// Remove removes v from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Union returns a new set of the values that are in s or in o.
func (s Set[T]) Union(o Set[T]) Set[T] {
	u := make(Set[T], len(s)+len(o))
	maps.Copy(u, s)
	maps.Copy(u, o)
	return u
}

// Len returns the number of values.
func (s Set[T]) Len() int { return len(s) }

// Sorted returns the values of s in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T {
	return slices.Sorted(maps.Keys(s))
}
