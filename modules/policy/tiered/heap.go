package tiered

// heapNode is an element of an indexed binary heap. It stores its own position, so that it can be
// moved or removed in logarithmic time.
type heapNode[T any] interface {
	before(other T) bool
	position() int
	setPosition(i int)
}

// indexHeap is a binary heap whose smallest element is first.
type indexHeap[T heapNode[T]] []T

func (h *indexHeap[T]) push(x T) {
	*h = append(*h, x)
	x.setPosition(len(*h) - 1)
	h.up(len(*h) - 1)
}

func (h *indexHeap[T]) remove(x T) {
	i, last := x.position(), len(*h)-1
	h.swap(i, last)
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	x.setPosition(-1)
	if i < last {
		h.fix((*h)[i])
	}
}

// fix restores the order after x has changed.
func (h *indexHeap[T]) fix(x T) {
	i := x.position()
	h.up(i)
	h.down(x.position())
}

func (h *indexHeap[T]) swap(i, j int) {
	s := *h
	s[i], s[j] = s[j], s[i]
	s[i].setPosition(i)
	s[j].setPosition(j)
}

func (h *indexHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !(*h)[i].before((*h)[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexHeap[T]) down(i int) {
	n := len(*h)
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if (*h)[child].before((*h)[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
