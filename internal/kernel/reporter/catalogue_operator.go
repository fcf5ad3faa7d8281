package reporter

import "github.com/apex/log"

// Events of the area "operator", numbered from 700.
const (
	OperatorChangeRefused Code = 700 + iota
)

var operatorDefinitions = []Definition{
	{OperatorChangeRefused, log.WarnLevel, "operator change not accepted", "A change of the fleet was not confirmed as done; outcome says how it ended and whether it is certain that nothing changed."},
}
