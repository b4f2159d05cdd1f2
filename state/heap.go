package state

// Heap is a binary heap ordered by a function; the zero value is not usable.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
}

// NewHeap returns an empty heap.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] { return &Heap[T]{less: less} }

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Peek returns the least item without removing it.
func (h *Heap[T]) Peek() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// Each calls a function for every item, in no particular order.
func (h *Heap[T]) Each(fn func(T)) {
	for _, item := range h.items {
		fn(item)
	}
}

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Pop removes and returns the least item.
func (h *Heap[T]) Pop() (T, bool) {
	var zero T
	if len(h.items) == 0 {
		return zero, false
	}
	top := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	h.down(0)
	return top, true
}

// Find returns the index of the first of the leading items that pick selects, or -1. The leading items are close to the
// least ones but not sorted.
func (h *Heap[T]) Find(limit int, pick func(T) bool) int {
	for i, item := range h.items[:min(limit, len(h.items))] {
		if pick(item) {
			return i
		}
	}
	return -1
}

// At returns the item at an index that Find returned.
func (h *Heap[T]) At(i int) T { return h.items[i] }

// RemoveAt removes the item at an index.
func (h *Heap[T]) RemoveAt(i int) {
	var zero T
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.down(i)
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		parent := (i - 1) / 2
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// RemoveIf removes the items for which drop returns true and returns their number.
func (h *Heap[T]) RemoveIf(drop func(T) bool) int {
	kept := h.items[:0]
	for _, item := range h.items {
		if !drop(item) {
			kept = append(kept, item)
		}
	}
	removed := len(h.items) - len(kept)
	clear(h.items[len(kept):])
	h.items = kept
	if removed > 0 {
		for i := len(kept)/2 - 1; i >= 0; i-- {
			h.down(i)
		}
	}
	return removed
}

func (h *Heap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
