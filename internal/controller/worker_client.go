package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// workerClient is an HTTP client for the workers' API.
type workerClient struct{ http *http.Client }

// probe reports whether a worker responds to a request for its state.
func (c workerClient) probe(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/show", nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, tuning.MaxWorkerResponseBytes))
	return err == nil && resp.StatusCode == http.StatusOK
}

// send sends commands to a worker and returns the worker's state after them. The worker rejects
// all commands if their fencing token is stale or they are meant for another incarnation, and
// executes all of them otherwise; the returned state shows which. If no response arrives, the error
// wraps term.ErrNoResponse. After any error the commands may still have been executed.
func (c workerClient) send(ctx context.Context, address string, commands wire.DirectCommands) (*wire.Heartbeat, error) {
	raw, err := json.Marshal(commands)
	if err != nil {
		return nil, fmt.Errorf("encode commands for %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/do", bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("send commands to %s: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send commands to %s: %w: %w", address, term.ErrNoResponse, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, fmt.Errorf("send commands to %s: unexpected HTTP status %d", address, resp.StatusCode)
	}
	var heartbeat wire.Heartbeat
	body := io.LimitReader(resp.Body, tuning.MaxWorkerResponseBytes)
	if err := json.NewDecoder(body).Decode(&heartbeat); err != nil {
		return nil, fmt.Errorf("decode response of %s: %w", address, err)
	}
	return &heartbeat, nil
}
