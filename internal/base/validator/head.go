package validator

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

const (
	version10    = "HTTP/1.0"
	minorVersion = len(version10) - 1 // the position of the minor version
)

// ReadHead reads the head of a response to a request with the method, and returns an error if it is not valid.
func ReadHead(br *bufio.Reader, method string) (*http.Response, error) {
	version, err := br.Peek(len(version10))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	// net/http drops the Transfer-Encoding of a response of HTTP/1.0, whose framing is faulty then, so such a response is
	// read as one of HTTP/1.1.
	http10 := string(version) == version10
	if http10 {
		version[minorVersion] = '1'
	}
	res, err := http.ReadResponse(br, &http.Request{
		Method: method,
	})
	if err != nil {
		return nil, err
	}
	if http10 && res.TransferEncoding != nil {
		return nil, errors.New("transfer encoding in a response of HTTP/1.0")
	}
	if http10 {
		res.Proto, res.ProtoMinor = version10, 0
		res.Close = res.Close || !keepsAlive(res.Header)
	}
	return res, checkHead(res)
}

// keepsAlive reports whether the header says that the connection of a response of HTTP/1.0 stays open.
func keepsAlive(h http.Header) bool {
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "keep-alive") {
				return true
			}
		}
	}
	return false
}

// checkHead returns an error if the head, which a reader of net/http has accepted, is not valid.
func checkHead(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return errors.Errorf("unsupported version %q", res.Proto)
	}
	// net/http has read three bytes as a number, which may have a sign.
	if res.Status[0] < '1' || res.Status[0] > '5' {
		return errors.Errorf("invalid status %q", res.Status)
	}
	if strings.ContainsFunc(res.Status, isControl) {
		return errors.Errorf("control byte in the status line %q", res.Status)
	}
	// No node forwards the Upgrade field of a request.
	if res.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("switch of protocols that was not requested")
	}
	return checkNames(res.Header)
}

// isControl reports whether a reason may not hold the character.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == '\x7f'
}

// CheckTrailer returns an error if the trailer of a response that was read to its end is not valid.
func CheckTrailer(res *http.Response) error {
	return checkNames(res.Trailer)
}

// checkNames returns an error if a name holds a blank, the only byte outside of tokens that the readers of net/http accept.
// They take no such field for what its name without the blank says, as others may.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return errors.Errorf("field name %q holds a blank", name)
		}
	}
	return nil
}
