package forwarding

import "io"

// ReadUpTo reads a body whole if it has at most limit bytes. Of a longer one it gives the first limit+1 bytes, and the caller may read
// on. Its error is that of the reader; what was read before it is given too.
func ReadUpTo(body io.Reader, limit int64) (read []byte, isLonger bool, err error) {
	read, err = io.ReadAll(io.LimitReader(body, limit+1))
	return read, int64(len(read)) > limit, err
}
