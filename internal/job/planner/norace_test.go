//go:build !race

package planner

const raceDetector = false
