package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Client executes calls of the state service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	now     func() time.Time
}

// NewClient returns a client for the service at address, in the form host:port. The clock now
// provides Result.SentAt.
func NewClient(address string, transport http.RoundTripper, now func() time.Time) *Client {
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}, now: now}
}

// Execute sends a call and blocks until the response arrives, the call times out or ctx is
// done. Failures are reported in Result.Err.
func (c *Client) Execute(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout())
	defer cancel()
	request, err := c.newRequest(ctx, call)
	sentAt := c.now()
	if err != nil {
		return Result{Err: noResponse(err), SentAt: sentAt}
	}
	status, body, err := c.exchange(request)
	if err != nil {
		return Result{Err: noResponse(err), SentAt: sentAt}
	}
	result := decodeResult(call.Op, status, body)
	result.SentAt = sentAt
	return result
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	encoded := encodeCall(call)
	address := c.baseURL + encoded.path
	request, err := http.NewRequestWithContext(ctx, encoded.method, address, bytes.NewReader(encoded.body))
	if err != nil {
		return nil, err
	}
	if encoded.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// exchange sends a request and returns the response. It reads one byte more than
// tuning.MaxStoreResponseBytes, so that the caller can detect a truncated body.
func (c *Client) exchange(request *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, tuning.MaxStoreResponseBytes+1))
	return response.StatusCode, body, err
}

// responseBody is the union of the response bodies of all operations.
type responseBody struct {
	wire.KeyValue
	Items    []wire.KeyValue
	More     bool
	Revision uint64   `json:"Epoch"`
	Failed   []string `json:"failed"`
	Events   []wire.Event
}

func decodeResult(op Op, status int, raw []byte) Result {
	if len(raw) > tuning.MaxStoreResponseBytes && op == OpWatch {
		// Repeating the watch would return at least as much, so the caller must list the
		// keys again, page by page.
		return Result{Err: ErrCompacted}
	}
	var body responseBody
	if err := json.Unmarshal(raw, &body); err != nil && status == http.StatusOK {
		return Result{Err: noResponse(err)}
	}
	return Result{
		Err:       statusError(status, body.Failed),
		KeyValue:  body.KeyValue,
		KeyValues: body.Items,
		More:      body.More,
		Revision:  body.Revision,
		Lease:     body.Lease,
		Events:    body.Events,
	}
}

// encodedCall holds the parts of the HTTP request for a call.
type encodedCall struct {
	method string
	path   string // includes the query
	body   []byte // nil if the request has no body
}

func encodeCall(call Call) encodedCall {
	switch call.Op {
	case OpGet:
		key := &url.URL{Path: call.Key}
		return encodedCall{method: http.MethodGet, path: "/kv/" + key.EscapedPath()}
	case OpList:
		return encodedCall{method: http.MethodGet, path: listPath(call)}
	case OpWatch:
		return encodedCall{method: http.MethodGet, path: watchPath(call)}
	case OpGrantLease:
		body, _ := json.Marshal(struct{ LifeMs int64 }{call.LeaseTTL.Milliseconds()})
		return encodedCall{method: http.MethodPost, path: "/grants", body: body}
	case OpRenewLease:
		path := "/grants/" + strconv.FormatUint(call.Lease, 10) + "/touch"
		return encodedCall{method: http.MethodPost, path: path, body: []byte("{}")}
	}
	body, _ := json.Marshal(call.Transaction)
	return encodedCall{method: http.MethodPost, path: "/multi", body: body}
}

func listPath(call Call) string {
	path := "/kv?Under=" + url.QueryEscape(call.Prefix)
	if call.After != "" {
		path += "&After=" + url.QueryEscape(call.After)
	}
	return path + "&Page=" + strconv.Itoa(call.PageSize)
}

func watchPath(call Call) string {
	return "/changes?Under=" + url.QueryEscape(call.Prefix) +
		"&After=" + strconv.FormatUint(call.SinceRevision, 10) +
		"&WaitMs=" + strconv.Itoa(call.WatchWaitMs)
}
