package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

const completeHeartbeat = `{"Host":"i-1","Address":"1.2.3.4:5","Build":"g","Yard":"a","Loaners":true,` +
	`"Stint":2,"Tally":18446744073709551615,"Baton":41,"RecallS":3.5,` +
	`"Pieces":[{"Piece":"job-1/0","Try":1,"Stage":"exited","Cause":"halted","Stored":true}]}`

// Guards against a faster decoder that differs from encoding/json, as on numbers beyond 64 bits.
func TestParseHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    string
		invalid bool
	}{
		{name: "all fields", body: completeHeartbeat},
		{
			name: "unknown fields",
			body: `{"Host":"i-1","New":{"a":[1,{"b":null}],"c":"\u00e4\n"},"Stint":1,"Pieces":null,"RecallS":null}`,
		},
		{name: "escapes", body: `{"Host":"i-\u0031\"\\","Stint":1}`},
		{name: "token beyond 64 bits", body: `{"Host":"i-1","Stint":1,"Baton":18446744073709551616}`, invalid: true},
		{
			name:    "attempt far beyond 64 bits",
			body:    `{"Host":"i-1","Stint":1,"Pieces":[{"Piece":"job-1/0","Try":` + strings.Repeat("9", 60) + `}]}`,
			invalid: true,
		},
		{name: "negative", body: `{"Host":"i-1","Stint":-1}`, invalid: true},
		{name: "fraction", body: `{"Host":"i-1","Stint":1.5}`, invalid: true},
		{name: "leading zero", body: `{"Host":"i-1","Stint":01}`, invalid: true},
		{name: "wrong type", body: `{"Host":7,"Stint":1}`, invalid: true},
		{name: "truncated", body: `{"Host":"i-1","Stint":1`, invalid: true},
		{name: "trailing data", body: `{"Host":"i-1","Stint":1}}`, invalid: true},
		{name: "control character", body: "{\"Host\":\"i\n1\",\"Stint\":1}", invalid: true},
		{name: "unclosed deep nesting", body: `{"Host":"i-1","New":` + strings.Repeat("[", 60000) + `}`, invalid: true},
		{name: "array", body: `[]`, invalid: true},
		{name: "empty body", body: ``, invalid: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got, want Heartbeat
			err := ParseHeartbeat([]byte(c.body), &got)
			stdErr := json.Unmarshal([]byte(c.body), &want)
			if (err != nil) != c.invalid || (stdErr != nil) != c.invalid {
				t.Fatalf("error %v, encoding/json %v, want invalid %t", err, stdErr, c.invalid)
			}
			if !c.invalid && !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}
