package wire

import (
	"encoding/json"
	"strings"
	"testing"
)

func valid() map[string]any {
	return map[string]any{
		"Id": "job-000412", "Lane": "train", "Crew": "vision", "Shape": "gang", "Rank": "high", "Pieces": 16,
		"Vcpus": 8.0, "Gpus": 1.0, "MemGb": 64.0, "Bundle": "img-07", "ImageGb": 6.2, "Builds": []string{"g8"}, "Yard": nil,
		"Together": true, "Apart": false, "Loaners": true, "GuessS": 240.0, "BookmarkS": 30.0, "StowS": 4.0, "DueS": 900.0,
	}
}

func TestParseSubmission(t *testing.T) {
	for _, c := range []struct {
		name  string
		field string
		value any
		drop  bool
		bad   string // what the error names; "" for none
	}{
		{name: "as in the protocol"},
		{name: "null builds", field: "Builds", value: nil},
		{name: "omitted builds", field: "Builds", drop: true},
		{name: "omitted zone", field: "Yard", drop: true},
		{name: "omitted deadline", field: "DueS", drop: true},
		{name: "null deadline", field: "DueS", value: nil},
		{name: "no guess", field: "GuessS", value: 0},
		{name: "omitted guess", field: "GuessS", drop: true, bad: "GuessS"},
		{name: "guess as text", field: "GuessS", value: "soon", bad: "GuessS"},
		{name: "negative guess", field: "GuessS", value: -1, bad: "GuessS"},
		{name: "guess beyond all numbers", field: "GuessS", value: json.RawMessage("1e999"), bad: "GuessS"},
		{name: "room that is no number", field: "MemGb", value: json.RawMessage(`"NaN"`), bad: "MemGb"},
		{name: "shape in other letters", field: "Shape", value: "Standing", bad: "Shape"},
		{name: "omitted shape", field: "Shape", drop: true, bad: "Shape"},
		{name: "unknown field", field: "Extra", value: []int{1}},
		{name: "whole number as amount", field: "Vcpus", value: 8},
		{name: "most pieces", field: "Pieces", value: 100000},
		{name: "omitted id", field: "Id", drop: true, bad: "Id"},
		{name: "null id", field: "Id", value: nil, bad: "Id"},
		{name: "id of another form", field: "Id", value: "task-1", bad: "Id"},
		{name: "id with a slash", field: "Id", value: "job-1/2", bad: "Id"},
		{name: "id as number", field: "Id", value: 12, bad: "Id"},
		{name: "unknown shape", field: "Shape", value: "daemon", bad: "Shape"},
		{name: "unknown rank", field: "Rank", value: "urgent", bad: "Rank"},
		{name: "no pieces", field: "Pieces", value: 0, bad: "Pieces"},
		{name: "too many pieces", field: "Pieces", value: 100001, bad: "Pieces"},
		{name: "half a piece", field: "Pieces", value: 1.5, bad: "Pieces"},
		{name: "negative amount", field: "Gpus", value: -1, bad: "Gpus"},
		{name: "amount as text", field: "MemGb", value: "64", bad: "MemGb"},
		{name: "omitted flag", field: "Loaners", drop: true, bad: "Loaners"},
		{name: "flag as number", field: "Together", value: 1, bad: "Together"},
		{name: "builds as text", field: "Builds", value: "g8", bad: "Builds"},
		{name: "number in builds", field: "Builds", value: []int{8}, bad: "Builds"},
		{name: "long name", field: "Lane", value: strings.Repeat("x", 300), bad: "Lane"},
		{name: "empty bundle", field: "Bundle", value: "", bad: "Bundle"},
		{name: "negative deadline", field: "DueS", value: -1, bad: "DueS"},
	} {
		// the same holds for every shape
		for _, shape := range []string{ShapeBatch, ShapeGang, ShapeService} {
			if c.field == "Shape" && shape != ShapeBatch {
				continue
			}
			t.Run(c.name+"/"+shape, func(t *testing.T) {
				m := valid()
				m["Shape"] = shape
				if c.field != "" {
					m[c.field] = c.value
				}
				if c.drop {
					delete(m, c.field)
				}
				raw, _ := json.Marshal(m)
				s, err := ParseJobSpec(raw)
				if c.bad == "" && (err != nil || s.ID != "job-000412") {
					t.Fatalf("refused: %v", err)
				}
				if c.bad != "" && (err == nil || !strings.HasPrefix(err.Error(), c.bad)) {
					t.Fatalf("got error %v, want one about %s", err, c.bad)
				}
			})
		}
	}
	for _, raw := range []string{"", "{", "[]", "null", `"x"`, "3", `{"id":"job-1"}`} {
		if _, err := ParseJobSpec([]byte(raw)); err == nil {
			t.Errorf("%q was taken for a submission", raw)
		}
	}
}

func TestParseTask(t *testing.T) {
	for _, c := range []struct {
		in string
		n  int
		ok bool
	}{
		{"job-000412/3", 3, true}, {"job-1/0", 0, true}, {"job-1/99999", 99999, true},
		{"job-1/100000", 0, false}, {"job-1/-1", 0, false}, {"job-1/03", 0, false}, {"job-1", 0, false}, {"x/1", 0, false}, {"job-1/1/2", 0, false},
	} {
		if _, n, ok := ParseTask(c.in); n != c.n || ok != c.ok {
			t.Errorf("ParsePiece(%q) = %d, %t, want %d, %t", c.in, n, ok, c.n, c.ok)
		}
	}
}
