package messenger

// WorkQueueRequest asks for the load of a queue.
type WorkQueueRequest struct {
	Queue string `json:"queue"`
}

// WorkQueueReply contains the load of a queue. Known is false if the operators have not defined it and
// it has no open jobs.
type WorkQueueReply struct {
	Known         bool    `json:"known"`
	Queue         string  `json:"queue"`
	Epoch         int64   `json:"epoch"` // epoch of the owner
	Priority      int     `json:"priority"`
	Jobs          int     `json:"jobs"`        // that have not ended
	NotStarted    int     `json:"not-started"` // of them
	RunningTasks  int     `json:"running-tasks"`
	RunningCores  float64 `json:"running-cores"` // that they declare
	WaitingTasks  int     `json:"waiting-tasks"` // for capacity
	LongestMillis int64   `json:"longest-wait-ms"`
	BlockedTasks  int     `json:"blocked-tasks"` // whose earlier steps are not finished
	Backlog       float64 `json:"backlog"`       // declared core-seconds of the tasks that wait for capacity
	// Oldest is the step that has waited longest, and Reason why it waits.
	Oldest   string             `json:"oldest,omitempty"`
	Reason   string             `json:"reason,omitempty"`
	Accounts []WorkQueueAccount `json:"accounts,omitempty"` // with waiting tasks, the largest backlog first
	// Admission is nil unless it is asked for, and Forecast unless it is asked for and one is known.
	Admission *WorkQueueAdmission `json:"admission,omitempty"`
	Forecast  *WorkQueueForecast  `json:"forecast,omitempty"`
}

// WorkQueueAccount is the backlog of a client account in a queue.
type WorkQueueAccount struct {
	Account       string  `json:"account"`
	WaitingTasks  int     `json:"waiting-tasks"`
	Backlog       float64 `json:"backlog"` // core-seconds
	LongestMillis int64   `json:"longest-wait-ms"`
}

// WorkQueueAdmission is what entries decide by.
type WorkQueueAdmission struct {
	Drain      float64 `json:"drain"` // core-seconds a second, of all queues of the service and priority; 0: not known
	WaitMillis int64   `json:"wait-ms"`
	Refusing   bool    `json:"refusing"` // entries have a table by which they may refuse jobs
}

// WorkQueueForecast is the predicted demand of urgent tasks, in cores.
type WorkQueueForecast struct {
	Present   float64 `json:"present"`
	Mean      float64 `json:"mean"`
	Error     float64 `json:"error"` // standard deviation
	Reserve   float64 `json:"reserve"`
	MeanError float64 `json:"mean-error"` // of earlier forecasts, relative
	Trusted   bool    `json:"trusted"`
}
