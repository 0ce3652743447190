// Package ring provides a bounded buffer that overwrites its oldest values.
package ring

// Ring is a ring buffer of the most recent values. It is not safe for concurrent use.
type Ring[T any] struct {
	buf   []T
	start int
	count int
}

// New returns a ring that keeps at most capacity values; capacity must be positive.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{buf: make([]T, capacity)}
}

// Push adds v, overwriting the oldest value if the ring is full.
func (r *Ring[T]) Push(v T) {
	if r.count < len(r.buf) {
		r.buf[(r.start+r.count)%len(r.buf)] = v
		r.count++
		return
	}
	r.buf[r.start] = v
	r.start = (r.start + 1) % len(r.buf)
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return r.count }

// Values returns the values from oldest to newest in a new slice.
func (r *Ring[T]) Values() []T {
	out := make([]T, 0, r.count)
	for i := range r.count {
		out = append(out, r.buf[(r.start+i)%len(r.buf)])
	}
	return out
}
