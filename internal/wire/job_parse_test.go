package wire

import (
	"encoding/json"
	"strings"
	"testing"
)

func validSubmission() map[string]any {
	return map[string]any{
		"Id":        "job-000412",
		"Lane":      "train",
		"Crew":      "vision",
		"Shape":     "gang",
		"Rank":      "high",
		"Pieces":    16,
		"Vcpus":     8.0,
		"Gpus":      1.0,
		"MemGb":     64.0,
		"Bundle":    "img-07",
		"ImageGb":   6.2,
		"Builds":    []string{"g8"},
		"Yard":      nil,
		"Together":  true,
		"Apart":     false,
		"Loaners":   true,
		"GuessS":    240.0,
		"BookmarkS": 30.0,
		"StowS":     4.0,
		"DueS":      900.0,
	}
}

// submissionCase modifies one field of a valid submission.
type submissionCase struct {
	name    string
	field   string
	value   any
	omit    bool
	invalid string // field that the error names; "" if valid
}

var submissionCases = []submissionCase{
	{name: "valid submission"},
	{name: "null machine types", field: "Builds", value: nil},
	{name: "omitted machine types", field: "Builds", omit: true},
	{name: "omitted zone", field: "Yard", omit: true},
	{name: "omitted deadline", field: "DueS", omit: true},
	{name: "null deadline", field: "DueS", value: nil},
	{name: "estimate of 0", field: "GuessS", value: 0},
	{name: "omitted estimate", field: "GuessS", omit: true, invalid: "GuessS"},
	{name: "estimate of type string", field: "GuessS", value: "soon", invalid: "GuessS"},
	{name: "negative estimate", field: "GuessS", value: -1, invalid: "GuessS"},
	{name: "estimate beyond float64", field: "GuessS", value: json.RawMessage("1e999"), invalid: "GuessS"},
	{name: "memory NaN as string", field: "MemGb", value: json.RawMessage(`"NaN"`), invalid: "MemGb"},
	{name: "shape in wrong case", field: "Shape", value: "Standing", invalid: "Shape"},
	{name: "omitted shape", field: "Shape", omit: true, invalid: "Shape"},
	{name: "unknown field", field: "Extra", value: []int{1}},
	{name: "integer where a float is expected", field: "Vcpus", value: 8},
	{name: "maximum of tasks", field: "Pieces", value: 100000},
	{name: "omitted id", field: "Id", omit: true, invalid: "Id"},
	{name: "null id", field: "Id", value: nil, invalid: "Id"},
	{name: "id of another form", field: "Id", value: "task-1", invalid: "Id"},
	{name: "id with a slash", field: "Id", value: "job-1/2", invalid: "Id"},
	{name: "id of type number", field: "Id", value: 12, invalid: "Id"},
	{name: "unknown shape", field: "Shape", value: "daemon", invalid: "Shape"},
	{name: "unknown priority", field: "Rank", value: "urgent", invalid: "Rank"},
	{name: "no tasks", field: "Pieces", value: 0, invalid: "Pieces"},
	{name: "too many tasks", field: "Pieces", value: 100001, invalid: "Pieces"},
	{name: "fractional number of tasks", field: "Pieces", value: 1.5, invalid: "Pieces"},
	{name: "negative amount", field: "Gpus", value: -1, invalid: "Gpus"},
	{name: "amount of type string", field: "MemGb", value: "64", invalid: "MemGb"},
	{name: "omitted flag", field: "Loaners", omit: true, invalid: "Loaners"},
	{name: "flag of type number", field: "Together", value: 1, invalid: "Together"},
	{name: "machine types of type string", field: "Builds", value: "g8", invalid: "Builds"},
	{name: "number in machine types", field: "Builds", value: []int{8}, invalid: "Builds"},
	{name: "long name", field: "Lane", value: strings.Repeat("x", 300), invalid: "Lane"},
	{name: "empty image", field: "Bundle", value: "", invalid: "Bundle"},
	{name: "negative deadline", field: "DueS", value: -1, invalid: "DueS"},
}

func (c submissionCase) body(t *testing.T, shape string) []byte {
	t.Helper()
	fields := validSubmission()
	fields["Shape"] = shape
	if c.field != "" {
		fields[c.field] = c.value
	}
	if c.omit {
		delete(fields, c.field)
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestParseJobSpec(t *testing.T) {
	for _, c := range submissionCases {
		// validation does not depend on the shape
		for _, shape := range []string{ShapeBatch, ShapeGang, ShapeService} {
			if c.field == "Shape" && shape != ShapeBatch {
				continue
			}
			t.Run(c.name+"/"+shape, func(t *testing.T) {
				spec, err := ParseJobSpec(c.body(t, shape))
				if c.invalid == "" && (err != nil || spec.ID != "job-000412") {
					t.Fatalf("rejected: %v", err)
				}
				if c.invalid != "" && (err == nil || !strings.HasPrefix(err.Error(), c.invalid)) {
					t.Fatalf("got error %v, want one about %s", err, c.invalid)
				}
			})
		}
	}
	for _, raw := range []string{"", "{", "[]", "null", `"x"`, "3", `{"id":"job-1"}`} {
		if _, err := ParseJobSpec([]byte(raw)); err == nil {
			t.Errorf("%q accepted as a submission", raw)
		}
	}
}

func TestParseTaskName(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
		ok   bool
	}{
		{name: "job-000412/3", n: 3, ok: true},
		{name: "job-1/0", n: 0, ok: true},
		{name: "job-1/99999", n: 99999, ok: true},
		{name: "job-1/100000"},
		{name: "job-1/-1"},
		{name: "job-1/03"},
		{name: "job-1"},
		{name: "x/1"},
		{name: "job-1/1/2"},
	} {
		if _, n, ok := ParseTaskName(c.name); n != c.n || ok != c.ok {
			t.Errorf("ParseTaskName(%q) = %d, %t, want %d, %t", c.name, n, ok, c.n, c.ok)
		}
	}
}
