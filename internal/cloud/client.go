package cloud

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"juniperchute/internal/tuning"
)

// Client executes calls of the cloud API over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the cloud API at address, in the form host:port.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}}
}

// Do executes a call. It blocks until the response arrives, tuning.CloudTimeout passes or ctx is
// done. Do does not check Call.Deadline; the caller must do so.
func (c *Client) Do(ctx context.Context, call Call) Result {
	status, body, err := c.exchange(ctx, call)
	if err != nil {
		return Failure(fmt.Errorf("%w: %w", ErrNoResponse, err))
	}
	if status != http.StatusOK {
		return Failure(statusError(status, body))
	}
	response, err := call.decode(body)
	if err != nil {
		return Failure(fmt.Errorf("%w: decode response: %w", ErrNoResponse, err))
	}
	return Success(response)
}

// exchange sends the HTTP request for a call and returns the status and body of the response.
func (c *Client) exchange(ctx context.Context, call Call) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	method, path, requestBody := call.httpRequest()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(requestBody))
	if err != nil {
		return 0, nil, err
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, tuning.MaxCloudResponseBytes))
	return response.StatusCode, body, err
}
