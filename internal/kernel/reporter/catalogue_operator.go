package reporter

import "github.com/apex/log"

// Events of the area "operator", numbered from 700.
const (
	OperatorChangeRefused Code = 700 + iota
)

var operatorDefinitions = []Definition{
	{OperatorChangeRefused, log.WarnLevel, "operator change not accepted", "A change of the fleet got another answer than done; outcome tells which, and whether it is known that nothing changed."},
}
