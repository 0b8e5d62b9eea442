package platform

import codec "ravenpond/internal/proto/platform"

// splitMessages passes on the messages in received bytes, of which partial is the part that was received before. It returns the part of the
// next message in memory of its own, so that an idle connection keeps none. The error is that of onMessage, or wraps codec.ErrUnreadable.
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
