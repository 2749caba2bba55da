package tuning

// Administration API, used by packages term and controller, and by the commands.
const (
	// MaxStatusJobs bounds the jobs in a status reply.
	MaxStatusJobs = 200
	// MaxIntentsShown bounds the intents listed for one operation in a reply.
	MaxIntentsShown = 50
)
