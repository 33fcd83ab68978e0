package acceptor

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// errBodyTooLarge is returned while reading a body beyond the limit.
var errBodyTooLarge = errors.New("the body is larger than allowed")

// body is a request's body that tells when it has been read.
type body struct {
	source  io.Reader
	left    int64
	proceed func() error
	begun   bool
	once    sync.Once
	ended   chan struct{}
}

// Read reads the body; the first read tells a caller that waits to send it.
func (b *body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if err := b.proceed(); err != nil {
			b.end()
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		err = errBodyTooLarge
	}
	if err != nil {
		b.end()
	}
	return n, err
}

func (b *body) end() {
	b.once.Do(func() { close(b.ended) })
}

// unread reports whether a part of the body has not been read.
func (b *body) unread() bool {
	if b == nil {
		return false
	}
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}
