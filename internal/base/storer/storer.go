package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/go-faster/errors"
)

// ValueMaxBytes is the maximum size of a stored value in bytes.
const ValueMaxBytes = 1 << 20

// headMaxBytes is the maximum size of the head of a response.
const headMaxBytes = 64 << 10

var (
	// ErrConflict is returned if the stored version differs from the expected one.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound is returned if the key has no object.
	ErrNotFound = errors.New("store: object not found")
	// ErrReturned is returned if the store has come back from an older copy, where the version stands for another change.
	ErrReturned = errors.New("store: back from an older copy")
)

// Object is a stored value with its key and version; a version of a later era of the store is above all earlier ones.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is a client of the object store; a call that returns an error may still have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	Delete(ctx context.Context, key string) error
	List(ctx context.Context, prefix string) ([]Object, error)
	Watch(ctx context.Context, key string, after uint64) (Object, error)
	// LearnEra takes over the era of a version that another node has read.
	LearnEra(version uint64)
	// Outdated reports whether the version is of an earlier era, so that the store may have lost it.
	Outdated(version uint64) bool
}

type store struct {
	url       string
	timeout   time.Duration
	watchWait time.Duration
	client    *http.Client
	era       eraTracker
}

// New returns a client of the store at the URL; timeout limits a call, and watchWait is how long a watch waits for a
// change in addition.
func New(url string, timeout, watchWait time.Duration) Store {
	return &store{
		url:       url,
		timeout:   timeout,
		watchWait: watchWait,
		client: &http.Client{
			Transport: validator.NewTransport(&http.Transport{
				MaxIdleConnsPerHost:    4,
				IdleConnTimeout:        time.Minute,
				MaxResponseHeaderBytes: headMaxBytes,
			}),
		},
	}
}

// Get returns the object, or ErrNotFound.
func (s *store) Get(ctx context.Context, key string) (Object, error) {
	return s.callObject(ctx, s.timeout, http.MethodGet, objectPath(key), nil, nil)
}

// Put writes the value if the stored version is the expected one (0 if there is no object), or returns ErrConflict.
func (s *store) Put(ctx context.Context, key string, value []byte, version uint64) (Object, error) {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.FormatUint(number(version), 10))
		header.Set(headerEra, strconv.FormatUint(era(version), 10))
	}
	if version != 0 && era(version) != s.era.highest() {
		return Object{}, ErrConflict
	}
	o, err := s.callObject(ctx, s.timeout, http.MethodPut, objectPath(key), header, value)
	if err != nil {
		return Object{}, err
	}
	if version != 0 && era(version) != era(o.Version) {
		return Object{}, ErrConflict
	}
	o.Key = key
	o.Value = value
	return o, nil
}

// Delete removes the object if there is one.
func (s *store) Delete(ctx context.Context, key string) error {
	_, err := s.callObject(ctx, s.timeout, http.MethodDelete, objectPath(key), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// List returns the objects whose keys start with the prefix.
func (s *store) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	_, body, err := s.do(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, err
	}
	var list []Object
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	return list, nil
}

// Watch returns the object once its version is above after, ErrNotFound if it did not change within the wait, or
// ErrReturned if the store is in another era than the version.
func (s *store) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	q := "?after=" + strconv.FormatUint(number(after), 10) + "&waitMs=" + strconv.FormatInt(s.watchWait.Milliseconds(), 10)
	o, err := s.callObject(ctx, s.watchWait+s.timeout, http.MethodGet, objectPath(key)+q, nil, nil)
	if errors.Is(err, ErrNotFound) && era(o.Version) != era(after) {
		return Object{}, ErrReturned
	}
	return o, err
}

func objectPath(key string) string {
	return "/objects/" + url.PathEscape(key)
}

func (s *store) callObject(ctx context.Context, timeout time.Duration, method, path string, header http.Header, value []byte) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, body, err := s.do(ctx, method, path, header, value)
	if err != nil {
		return Object{
			Version: res.version(0),
		}, err
	}
	n, err := strconv.ParseUint(res.header.Get("Version"), 10, numberBits)
	if err != nil {
		return Object{}, errors.Wrap(err, "read version")
	}
	return Object{
		Key:     res.header.Get("Object-Key"),
		Version: res.version(n),
		Value:   body,
	}, nil
}

func (s *store) do(ctx context.Context, method, path string, header http.Header, value []byte) (response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.url+path, bytes.NewReader(value))
	if err != nil {
		return response{}, nil, errors.Wrap(err, "build request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := s.client.Do(req)
	if err != nil {
		return response{}, nil, errors.Wrap(err, "call store")
	}
	defer func() { _ = res.Body.Close() }()
	out := response{
		header: res.Header,
	}
	if out.era, err = s.era.observe(res.Header.Get(headerEra)); err != nil {
		return out, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, 64*ValueMaxBytes))
	if err != nil {
		return out, nil, errors.Wrap(err, "read store answer")
	}
	switch res.StatusCode {
	case http.StatusOK:
		return out, body, nil
	case http.StatusPreconditionFailed:
		return out, nil, ErrConflict
	case http.StatusNotFound, http.StatusNotModified:
		return out, nil, ErrNotFound
	default:
		return out, nil, errors.Errorf("store: status %d", res.StatusCode)
	}
}
