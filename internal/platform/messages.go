package platform

import (
	"slices"

	codec "ravenpond/internal/proto/platform"
)

// messages gives out the messages that came, of which held is the beginning. It returns the part of one that is still to
// be completed, in memory of its own: an idle connection keeps none.
func messages(held, b []byte, each func(msg []byte) error) (rest []byte, err error) {
	if len(held) > 0 {
		b = append(held, b...)
	}
	for {
		msg, took, err := codec.Next(b)
		if err == nil && took > 0 {
			err = each(msg)
		}
		if err != nil {
			return nil, err
		}
		if took == 0 {
			return append([]byte(nil), b...), nil
		}
		b = b[took:]
	}
}

// remove takes one out of a list without keeping its order.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		list[i] = list[len(list)-1]
		var zero T
		list[len(list)-1] = zero
		list = list[:len(list)-1]
	}
	return list
}
