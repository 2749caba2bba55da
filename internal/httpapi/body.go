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

// errBodyTooLarge tells that a request's body is larger than the protocol allows.
var errBodyTooLarge = errors.New("body is too large")

// errBodyUnreadable tells that a request's body did not arrive whole.
var errBodyUnreadable = errors.New("body cannot be read")

// readBody reads a request body of at most the protocol's size. One that says that it is
// larger is refused unread, and a small one that says its size is read into just that: what
// a client only claims to send takes no memory.
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

// readAll reads a body of the given length; -1: it is not known.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > tuning.BodyPreallocateBytes {
		return io.ReadAll(body)
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return raw, err
}

// writeJSON answers a request; retryAfter is in seconds, 0: no such header.
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
	_, _ = w.Write(raw) // a client that has gone away is no concern of ours
}

func writeResponse(w http.ResponseWriter, response submission.Response) {
	writeJSON(w, response.Status, response.Body, response.RetryAfter)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, submission.ErrorBody{Error: text}, 0)
}
