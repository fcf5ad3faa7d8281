package reporter

import "github.com/apex/log"

// Events of the area "standin", numbered from 800.
const (
	StandinListens Code = 800 + iota
)

var standinDefinitions = []Definition{
	{StandinListens, log.InfoLevel, "stand-in listens", "A stand-in of the platform is up at this address; for demos and tests only."},
}
