package main

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

func TestHelpHasExamples(t *testing.T) {
	var check func(command *cobra.Command)
	check = func(command *cobra.Command) {
		if !strings.Contains(command.Example, command.CommandPath()) {
			t.Errorf("%s: example %q does not contain the command", command.CommandPath(), command.Example)
		}
		for _, subcommand := range command.Commands() {
			check(subcommand)
		}
	}
	check(newRootCommand())
}

func TestIntentsAlias(t *testing.T) {
	byAlias, _, err := newRootCommand().Find([]string{"intents"})
	if err != nil || byAlias.Name() != "duties" {
		t.Errorf("intents resolves to %q, error %v; want duties", byAlias.Name(), err)
	}
}

func TestSettingsFileRequired(t *testing.T) {
	command := newRootCommand()
	command.SetArgs([]string{})
	if err := command.Execute(); err == nil || !strings.Contains(err.Error(), "--config") {
		t.Errorf("got error %v, want one that names --config", err)
	}
}
