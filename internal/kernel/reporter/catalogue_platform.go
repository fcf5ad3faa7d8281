package reporter

// Events of the area "platform", numbered from 200.
const ()

var platformDefinitions = []Definition{}
