package reporter

// Events of the area "request", numbered from 400.
const ()

var requestDefinitions = []Definition{}
