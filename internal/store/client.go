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

// Client speaks to the state service over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
	now     func() time.Time
}

// NewClient makes a client of the service at addr.
func NewClient(address string, transport http.RoundTripper, now func() time.Time) *Client {
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}, now: now}
}

// Execute carries out a call. It blocks until the answer or the call's time limit.
func (c *Client) Execute(ctx context.Context, call Call) Result {
	limit := call.Timeout()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	method, path, body := call.request()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return Result{SentAt: c.now()}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res := Result{SentAt: c.now()}
	resp, err := c.http.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxStoreResponseBytes+1))
	if err != nil {
		return res
	}
	if len(raw) > tuning.MaxStoreResponseBytes && call.Op == OpWatch {
		// Asked again the same changes would come, and more: the keys have to be read
		// anew, a page at a time.
		res.Status = http.StatusGone
		return res
	}
	var out struct {
		wire.KeyValue
		Items    []wire.KeyValue
		More     bool
		Revision uint64   `json:"Epoch"`
		Failed   []string `json:"failed"`
		Events   []wire.Event
	}
	if err := json.Unmarshal(raw, &out); err != nil && resp.StatusCode == http.StatusOK {
		// an answer that cannot be read is as good as none
		return res
	}
	res.Status = resp.StatusCode
	res.KeyValue, res.KeyValues, res.More = out.KeyValue, out.Items, out.More
	res.Revision, res.FailedKeys, res.Lease, res.Events = out.Revision, out.Failed, out.Lease, out.Events
	return res
}

func (c Call) request() (method, path string, body []byte) {
	switch c.Op {
	case OpGet:
		return http.MethodGet, "/kv/" + (&url.URL{Path: c.Key}).EscapedPath(), nil
	case OpList:
		q := "/kv?Under=" + url.QueryEscape(c.Prefix)
		if c.After != "" {
			q += "&After=" + url.QueryEscape(c.After)
		}
		return http.MethodGet, q + "&Page=" + strconv.Itoa(c.PageSize), nil
	case OpWatch:
		return http.MethodGet, "/changes?Under=" + url.QueryEscape(c.Prefix) +
			"&After=" + strconv.FormatUint(c.SinceRevision, 10) + "&WaitMs=" + strconv.Itoa(c.WatchWaitMs), nil
	case OpGrantLease:
		b, _ := json.Marshal(struct{ LifeMs int64 }{c.LeaseTTL.Milliseconds()})
		return http.MethodPost, "/grants", b
	case OpRenewLease:
		return http.MethodPost, "/grants/" + strconv.FormatUint(c.Lease, 10) + "/touch", []byte("{}")
	}
	b, _ := json.Marshal(c.Transaction)
	return http.MethodPost, "/multi", b
}
