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
	base  string
	http  *http.Client
	clock func() time.Time
}

// NewClient makes a client of the service at addr.
func NewClient(addr string, rt http.RoundTripper, clock func() time.Time) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: rt}, clock: clock}
}

// Do carries out a call. It blocks until the answer or the call's time limit.
func (c *Client) Do(ctx context.Context, call Call) Result {
	limit := call.Limit()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	method, path, body := call.request()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Result{Sent: c.clock()}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res := Result{Sent: c.clock()}
	resp, err := c.http.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxStoreResponseBytes+1))
	if err != nil {
		return res
	}
	if len(raw) > tuning.MaxStoreResponseBytes && call.Op == OpChanges {
		// Asked again the same changes would come, and more: the keys have to be read
		// anew, a page at a time.
		res.Status = http.StatusGone
		return res
	}
	var out struct {
		wire.Item
		Items    []wire.Item
		More     bool
		Revision uint64   `json:"Epoch"`
		Failed   []string `json:"failed"`
		Events   []wire.Change
	}
	if err := json.Unmarshal(raw, &out); err != nil && resp.StatusCode == http.StatusOK {
		// an answer that cannot be read is as good as none
		return res
	}
	res.Status = resp.StatusCode
	res.Item, res.Items, res.More = out.Item, out.Items, out.More
	res.Revision, res.Failed, res.Lease, res.Events = out.Revision, out.Failed, out.Lease, out.Events
	return res
}

func (c Call) request() (method, path string, body []byte) {
	switch c.Op {
	case OpGet:
		return http.MethodGet, "/kv/" + (&url.URL{Path: c.Key}).EscapedPath(), nil
	case OpList:
		q := "/kv?Under=" + url.QueryEscape(c.Under)
		if c.After != "" {
			q += "&After=" + url.QueryEscape(c.After)
		}
		return http.MethodGet, q + "&Page=" + strconv.Itoa(c.Page), nil
	case OpChanges:
		return http.MethodGet, "/changes?Under=" + url.QueryEscape(c.Under) +
			"&After=" + strconv.FormatUint(c.Since, 10) + "&WaitMs=" + strconv.Itoa(c.WaitMs), nil
	case OpGrant:
		b, _ := json.Marshal(struct{ LifeMs int64 }{c.Life.Milliseconds()})
		return http.MethodPost, "/grants", b
	case OpTouch:
		return http.MethodPost, "/grants/" + strconv.FormatUint(c.Lease, 10) + "/touch", []byte("{}")
	}
	b, _ := json.Marshal(c.Multi)
	return http.MethodPost, "/multi", b
}
