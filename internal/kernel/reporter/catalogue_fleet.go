package reporter

// Events of the area "fleet", numbered from 300.
const ()

var fleetDefinitions = []Definition{}
