package reporter

// Events of the area "agent", numbered from 600.
const ()

var agentDefinitions = []Definition{}
