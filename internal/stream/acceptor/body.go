package acceptor

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// errBodyTooLarge is returned by a read that goes beyond the limit on request bodies.
var errBodyTooLarge = errors.New("the body is larger than allowed")

// body is a request body of limited size; done is closed when it was read to its end or failed.
type body struct {
	source       io.Reader
	remaining    int64
	sendContinue func() error
	started      bool
	once         sync.Once
	done         chan struct{}
}

// Read reads the body; the first call sends 100 Continue if the caller waits for that.
func (b *body) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		if err := b.sendContinue(); err != nil {
			b.finish()
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		err = errBodyTooLarge
	}
	if err != nil {
		b.finish()
	}
	return n, err
}

func (b *body) finish() {
	b.once.Do(func() { close(b.done) })
}

// unread reports whether part of the body has not been read yet.
func (b *body) unread() bool {
	if b == nil {
		return false
	}
	select {
	case <-b.done:
		return false
	default:
		return true
	}
}
