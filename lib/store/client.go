package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	// MaxValueSize is the maximum size of a value in bytes.
	MaxValueSize = 1 << 20
	// VersionHeader is the response header with the version of an object, or of the store in the response to a list.
	VersionHeader = "Object-Version"
	// EraHeader is the header of all responses with the store's era.
	EraHeader = "Store-Era"

	callTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second // time after which the platform ends a watch without a change
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	URL string // base URL of the platform, without a path
}

// Client is a Store that calls the platform's HTTP API.
type Client struct {
	baseURL string
	era     atomic.Uint64
	http    *http.Client
}

// NewClient returns a client; connections are opened by the first calls.
func NewClient(config ClientConfig) *Client {
	return &Client{baseURL: config.URL, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Delete removes an object if its version is the expected one, or returns a Stale or Unavailable fault.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"expected": {expected.String()}}
	response, err := c.send(ctx, http.MethodDelete, "/objects/"+key, query, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return stale(key)
	default:
		return unavailable(nil)
	}
}

// Era returns the latest era that the platform has stated; zero before its first answer.
func (c *Client) Era() uint64 { return c.era.Load() }

// Get returns an object, or a Missing or Unavailable fault.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.doObject(ctx, http.MethodGet, key, nil, nil)
}

// Put writes an object if its version is the expected one, or returns a Stale or Unavailable fault.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"expected": {expected.String()}}
	return c.doObject(ctx, http.MethodPut, key, query, value)
}

// Watch waits until the object's version differs from the given one, or returns a Missing fault after the watch timeout,
// or an Unavailable fault.
func (c *Client) Watch(ctx context.Context, key string, known Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	query := url.Values{
		"known":   {known.String()},
		"timeout": {watchTimeout.String()},
	}
	return c.doObject(ctx, http.MethodGet, key, query, nil)
}

// List returns the objects whose keys have the given prefix, or an Unavailable fault.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	objects, _, err := c.list(ctx, prefix)
	return objects, err
}

// ListAt returns the same objects as List and the store's version, or an Unavailable fault.
func (c *Client) ListAt(ctx context.Context, prefix string) ([]Object, Version, error) {
	objects, header, err := c.list(ctx, prefix)
	if err != nil {
		return nil, Version{}, err
	}
	version, err := ParseVersion(header.Get(VersionHeader))
	if err != nil {
		return nil, Version{}, unavailable(err)
	}
	return objects, version, nil
}

// list returns the objects whose keys have the given prefix and the header of the response, or an Unavailable fault.
func (c *Client) list(ctx context.Context, prefix string) ([]Object, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}}
	response, err := c.send(ctx, http.MethodGet, "/objects", query, nil)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, nil, unavailable(nil)
	}
	var objects []Object
	if err := json.NewDecoder(response.Body).Decode(&objects); err != nil {
		return nil, nil, unavailable(err)
	}
	return objects, response.Header, nil
}

// doObject makes a call that returns an object and translates status codes into faults.
func (c *Client) doObject(ctx context.Context, method, key string, query url.Values, value []byte) (Object, error) {
	response, err := c.send(ctx, method, "/objects/"+key, query, value)
	if err != nil {
		return Object{}, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return readObject(response, key)
	case http.StatusNotFound, http.StatusNotModified:
		return Object{}, missing(key)
	case http.StatusPreconditionFailed:
		return Object{}, stale(key)
	default:
		return Object{}, unavailable(nil)
	}
}

func readObject(response *http.Response, key string) (Object, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueSize))
	if err != nil {
		return Object{}, unavailable(err)
	}
	version, err := ParseVersion(response.Header.Get(VersionHeader))
	if err != nil {
		return Object{}, unavailable(err)
	}
	return Object{Key: key, Value: body, Version: version}, nil
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	requestURL := c.baseURL + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the platform's URL is invalid", "correct platformUrl in the settings")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	if err := c.recordEra(response.Header.Get(EraHeader)); err != nil {
		_ = response.Body.Close()
		return nil, unavailable(err)
	}
	return response, nil
}

// recordEra raises the latest era to that of a response, or returns an error when the response states a malformed one.
func (c *Client) recordEra(text string) error {
	if text == "" {
		return nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	for known := c.era.Load(); err == nil && era > known; known = c.era.Load() {
		c.era.CompareAndSwap(known, era)
	}
	return err
}

func unavailable(cause error) error {
	return fault.Wrap(cause, fault.Unavailable, "the platform does not answer", "try again when it is back")
}

var _ Store = (*Client)(nil)
