package reporter

// Events of the area "operator", numbered from 700.
const ()

var operatorDefinitions = []Definition{}
