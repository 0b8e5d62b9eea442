package platform

import codec "ravenpond/internal/proto/platform"

// splitMessages calls onMessage for each complete message in partial, the incomplete message received before, followed by b. It returns a copy
// of the incomplete message that is left, so that an idle connection keeps no buffer. The error is that of onMessage, or wraps
// codec.ErrUnreadable.
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
