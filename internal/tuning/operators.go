package tuning

// Replies of the administration API, used by packages term and controller, and by the commands.
const (
	// MaxStatusJobs bounds the jobs in a status.
	MaxStatusJobs = 200
	// MaxIntentsShown bounds the intents of one operation in a reply to an operator.
	MaxIntentsShown = 50
)
