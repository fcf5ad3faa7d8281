package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

const millicoresPerProcessor = 1000

// maxExactFloat is the largest value up to which float64 holds every integer
// exactly.
const maxExactFloat = 1 << 53

var memoryUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

func (d *decoder) processors(out *int64) field {
	return func(n ast.Node, path string) {
		v, err := ParseProcessors(scalar(n))
		if err != nil {
			d.add(n, path, "want processors such as 2, 0.5 or 500m, not %s", describeNode(n))
			return
		}
		*out = v
	}
}

func (d *decoder) memory(out *int64) field {
	return func(n ast.Node, path string) {
		v, err := ParseMemory(scalar(n))
		if err != nil {
			d.add(n, path, "want memory such as 512MiB, 8GiB or 8GB, not %s", describeNode(n))
			return
		}
		*out = v
	}
}

// ParseProcessors parses processors ("2", "0.5") or thousandths of a processor
// ("500m") into millicores.
func ParseProcessors(s string) (int64, error) {
	if thousandths, ok := strings.CutSuffix(s, "m"); ok {
		return parseScaled(thousandths, 1)
	}
	return parseScaled(s, millicoresPerProcessor)
}

// ParseMemory parses an amount of memory into bytes: a plain number, or one with
// the unit B, KiB, MiB, GiB, TiB, KB, MB, GB or TB.
func ParseMemory(s string) (int64, error) {
	for _, u := range memoryUnits {
		if number, ok := strings.CutSuffix(s, u.suffix); ok {
			return parseScaled(strings.TrimRight(number, " "), u.bytes)
		}
	}
	return parseScaled(s, 1)
}

func parseScaled(s string, scale float64) (int64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	v = math.Round(v * scale)
	if math.IsNaN(v) || math.Abs(v) > maxExactFloat {
		return 0, fmt.Errorf("%s is out of range", s)
	}
	return int64(v), nil
}
