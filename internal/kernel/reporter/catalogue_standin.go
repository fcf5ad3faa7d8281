package reporter

import "github.com/apex/log"

// Events of the area "stand-in", numbered from 800.
const (
	StandinListening Code = 800 + iota
)

var standinDefinitions = []Definition{
	{StandinListening, log.InfoLevel, "stand-in listening", "A stand-in for the platform is listening on this address; for demos and tests only."},
}
