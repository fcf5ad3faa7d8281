package reporter

// Events of the area "standin", numbered from 800.
const ()

var standinDefinitions = []Definition{}
