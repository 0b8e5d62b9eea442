package reconnect

// dialHeap is a heap of nodes, ordered by the time of their next dial and then by order of arrival.
type dialHeap struct {
	order []int  // indices of nodes
	nodes []node // by index
}

func (h *dialHeap) Len() int { return len(h.order) }

func (h *dialHeap) Less(i, j int) bool {
	x, y := &h.nodes[h.order[i]], &h.nodes[h.order[j]]
	return x.nextDialAt < y.nextDialAt || x.nextDialAt == y.nextDialAt && x.order < y.order
}

func (h *dialHeap) Swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.nodes[h.order[i]].position, h.nodes[h.order[j]].position = i, j
}

func (h *dialHeap) Push(x any) {
	index := x.(int)
	h.nodes[index].position = len(h.order)
	h.order = append(h.order, index)
}

func (h *dialHeap) Pop() any {
	last := len(h.order) - 1
	index := h.order[last]
	h.order = h.order[:last]
	h.nodes[index].position = notScheduled
	return index
}
