package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// User sends a user's requests and records them.
type User struct {
	Record *Record
}

// Answer is a controller's answer to a user; Status 0: there was none.
type Answer struct {
	Status int
	Stage  string
	Done   int
}

// Send sends a request to a controller.
func (u *User) Send(node *Node, method, path string, body any, timeout time.Duration) Answer {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	started := time.Now()
	answer := u.exchange("http://"+node.API+path, method, raw, timeout)
	u.Record.Printf("user: %s %s at %s: %d %s (%.3f s)", method, path, node.Name, answer.Status, answer.Stage,
		time.Since(started).Seconds())
	return answer
}

func (u *User) exchange(url, method string, raw []byte, timeout time.Duration) (answer Answer) {
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return answer
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer
	}
	_ = json.Unmarshal(text, &answer)
	answer.Status = response.StatusCode
	return answer
}

// Submit submits a job at the controllers in turn until it is accepted or refused for good, for 60 s.
func (u *User) Submit(fleet *Fleet, job *Job) bool {
	fleet.Upload(job)
	for n, end := 0, time.Now().Add(60*time.Second); time.Now().Before(end); n++ {
		answer := u.Send(fleet.Nodes[n%len(fleet.Nodes)], http.MethodPost, "/submissions", job, 5*time.Second)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll asks a controller about a job.
func (u *User) Poll(node *Node, id string) Answer {
	return u.Send(node, http.MethodGet, "/submissions/"+id, nil, 2*time.Second)
}
