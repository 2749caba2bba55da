package main

import (
	"strings"
	"testing"

	"juniperchute/internal/peer/peerpb"
)

func TestPrintSettings(t *testing.T) {
	var out strings.Builder
	printSettings(&out, &peerpb.Settings{Values: map[string]string{
		"placement.drop_threshold": "10",
		"fleet.max_machines":       "0",
	}})
	comment, values, _ := strings.Cut(out.String(), "\n")
	if !strings.HasPrefix(comment, "# ") {
		t.Errorf("first line %q, want a comment", comment)
	}
	if want := "fleet.max_machines = 0\nplacement.drop_threshold = 10\n"; values != want {
		t.Errorf("values %q, want %q", values, want)
	}
}
