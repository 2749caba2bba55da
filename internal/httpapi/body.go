package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// errBodyTooLarge means that a request body exceeds tuning.MaxBodyBytes. Clients receive the text.
var errBodyTooLarge = errors.New("body is too large")

// errBodyUnreadable means that a request body did not arrive completely. Clients receive the text.
var errBodyUnreadable = errors.New("body cannot be read")

// readBody reads a request body. It rejects a body whose Content-Length exceeds the limit without
// reading it. The memory that it allocates before data arrives is bounded by
// tuning.BodyPreallocateBytes, whatever length the client announces.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	if req.ContentLength > tuning.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	raw, err := readAll(http.MaxBytesReader(w, req.Body, tuning.MaxBodyBytes), req.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errBodyTooLarge
	case err != nil:
		return nil, errBodyUnreadable
	}
	return raw, nil
}

// readAll reads a body of the given length, or of unknown length if length is negative.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > tuning.BodyPreallocateBytes {
		return io.ReadAll(body)
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return raw, err
}

// writeJSON sends a response. retryAfter is in seconds; with 0 the header is omitted.
func writeJSON(w http.ResponseWriter, status int, body any, retryAfter int) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the client has disconnected
}

func writeResponse(w http.ResponseWriter, response submission.Response) {
	writeJSON(w, response.Status, response.Body, response.RetryAfter)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, submission.ErrorBody{Error: text}, 0)
}
