package reporter

// Events of the area "control", numbered from 500.
const ()

var controlDefinitions = []Definition{}
