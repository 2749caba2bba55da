package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// Reports are read by a faster kin of encoding/json, which has to accept and reject
// the same: numbers beyond 64 bits came out as others.
func TestParseReport(t *testing.T) {
	for _, c := range []struct {
		name, body string
		bad        bool
	}{
		{"whole", `{"Host":"i-1","Address":"1.2.3.4:5","Build":"g","Yard":"a","Loaners":true,"Stint":2,"Tally":18446744073709551615,"Baton":41,"RecallS":3.5,` +
			`"Pieces":[{"Piece":"job-1/0","Try":1,"Stage":"exited","Cause":"halted","Stored":true}]}`, false},
		{"unknown fields", `{"Host":"i-1","New":{"a":[1,{"b":null}],"c":"\u00e4\n"},"Stint":1,"Pieces":null,"RecallS":null}`, false},
		{"escapes", `{"Host":"i-\u0031\"\\","Stint":1}`, false},
		{"Baton beyond 64 bits", `{"Host":"i-1","Stint":1,"Baton":18446744073709551616}`, true},
		{"Try far beyond 64 bits", `{"Host":"i-1","Stint":1,"Pieces":[{"Piece":"job-1/0","Try":` + strings.Repeat("9", 60) + `}]}`, true},
		{"negative", `{"Host":"i-1","Stint":-1}`, true},
		{"a part of one", `{"Host":"i-1","Stint":1.5}`, true},
		{"leading zero", `{"Host":"i-1","Stint":01}`, true},
		{"another type", `{"Host":7,"Stint":1}`, true},
		{"cut off", `{"Host":"i-1","Stint":1`, true},
		{"more behind", `{"Host":"i-1","Stint":1}}`, true},
		{"a control character", "{\"Host\":\"i\n1\",\"Stint\":1}", true},
		{"nested without end", `{"Host":"i-1","New":` + strings.Repeat("[", 60000) + `}`, true},
		{"an array", `[]`, true},
		{"nothing", ``, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got, want Heartbeat
			err, std := ParseHeartbeat([]byte(c.body), &got), json.Unmarshal([]byte(c.body), &want)
			if (err != nil) != c.bad || (std != nil) != c.bad {
				t.Fatalf("%v; encoding/json: %v", err, std)
			}
			if !c.bad && !reflect.DeepEqual(got, want) {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}
