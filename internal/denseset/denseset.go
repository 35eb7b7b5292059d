// Package denseset implements a set whose members are in one slice, so that visiting them costs no more than there
// are members.
package denseset

// Set is a set of comparable values. The zero value is empty and ready to use.
type Set[T comparable] struct {
	list  []T
	index map[T]int
}

// Put adds a value if member is true, and removes it otherwise.
func (s *Set[T]) Put(v T, member bool) {
	if member {
		s.Add(v)
		return
	}
	s.Remove(v)
}

// Add adds a value.
func (s *Set[T]) Add(v T) {
	if s.Has(v) {
		return
	}
	if s.index == nil {
		s.index = map[T]int{}
	}
	s.index[v] = len(s.list)
	s.list = append(s.list, v)
}

// Remove removes a value. The last member takes its place in the order of All.
func (s *Set[T]) Remove(v T) {
	at, found := s.index[v]
	if !found {
		return
	}
	last := len(s.list) - 1
	moved := s.list[last]
	s.list[at] = moved
	s.index[moved] = at
	var zero T
	s.list[last] = zero
	s.list = s.list[:last]
	delete(s.index, v)
}

// Has reports whether a value is a member.
func (s *Set[T]) Has(v T) bool {
	_, found := s.index[v]
	return found
}

// Len returns the number of members.
func (s *Set[T]) Len() int { return len(s.list) }

// All returns the members. The slice is valid until the next change of the set.
func (s *Set[T]) All() []T { return s.list }
