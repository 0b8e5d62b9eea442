package platform

import (
	"slices"

	codec "ravenpond/internal/proto/platform"
)

// splitMessages gives out the messages that came, of which held is the beginning. It returns the part of one that is still to
// be completed, in memory of its own: an idle connection keeps none.
func splitMessages(partial, b []byte, onMessage func(msg []byte) error) (rest []byte, err error) {
	if len(partial) > 0 {
		b = append(partial, b...)
	}
	for {
		msg, size, err := codec.Next(b)
		if err == nil && size > 0 {
			err = onMessage(msg)
		}
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return append([]byte(nil), b...), nil
		}
		b = b[size:]
	}
}

// removeUnordered takes one out of a list without keeping its order.
func removeUnordered[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		list[i] = list[len(list)-1]
		var zero T
		list[len(list)-1] = zero
		list = list[:len(list)-1]
	}
	return list
}
