package main

// termStates maps the states of a term in the administration API to the end of a sentence about the
// lease holder.
var termStates = map[string]string{
	"loading": "is still taking over: it loads the records of the shard",
	"fencing": "is still taking over: it waits until the machines of earlier terms have answered, " +
		"or their leases have expired",
	"open": "is in service",
	"over": "has ended its term",
}

func describeTerm(state string) string {
	if text, ok := termStates[state]; ok {
		return text
	}
	return "is in the state " + state
}
