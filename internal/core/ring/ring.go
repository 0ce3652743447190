// Package ring holds a bounded buffer that forgets its oldest values first.
package ring

// Ring keeps the newest values up to its capacity. It is not safe for concurrent use.
type Ring[T any] struct {
	buf   []T
	start int
	n     int
}

// New returns a ring that keeps at most capacity values; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{buf: make([]T, capacity)}
}

// Push adds v and drops the oldest value when the ring is full.
func (r *Ring[T]) Push(v T) {
	if r.n < len(r.buf) {
		r.buf[(r.start+r.n)%len(r.buf)] = v
		r.n++
		return
	}
	r.buf[r.start] = v
	r.start = (r.start + 1) % len(r.buf)
}

// Len returns the number of values held.
func (r *Ring[T]) Len() int { return r.n }

// Values returns the values from oldest to newest in a new slice.
func (r *Ring[T]) Values() []T {
	out := make([]T, 0, r.n)
	for i := range r.n {
		out = append(out, r.buf[(r.start+i)%len(r.buf)])
	}
	return out
}
