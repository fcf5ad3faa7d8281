package specifier

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Limits of the settings of client accounts.
const (
	MinAccountWeight   = 0.01
	MaxAccountWeight   = 1e6
	maxAccountCores    = 1e6
	maxAccountMemoryMB = 1 << 40
	maxAccountName     = 64 // bytes
	maxAccounts        = 1000
)

// HasAccount reports whether the operators have defined a client account.
func (p *Policy) HasAccount(name string) bool {
	for _, a := range p.Accounts {
		if a.Name == name {
			return true
		}
	}
	return false
}

// ParseAccounts parses settings of client accounts of the form NAME=WEIGHT[,cpu=CORES][,memory=MB]. The
// error lists all invalid ones.
func ParseAccounts(texts []string) ([]Account, error) {
	var errs []error
	if len(texts) > maxAccounts {
		errs = append(errs, fmt.Errorf("%d accounts, at most %d", len(texts), maxAccounts))
	}
	accounts := make([]Account, 0, len(texts))
	known := make(map[string]bool)
	for _, text := range texts {
		a, err := parseAccount(text)
		if err != nil {
			errs = append(errs, fmt.Errorf("%q: %w", text, err))
			continue
		}
		if known[a.Name] {
			errs = append(errs, fmt.Errorf("%q: the account %q is given twice", text, a.Name))
		}
		known[a.Name] = true
		accounts = append(accounts, a)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return accounts, nil
}

func parseAccount(text string) (Account, error) {
	name, rest, found := strings.Cut(text, "=")
	if !found {
		return Account{}, errors.New("want NAME=WEIGHT[,cpu=CORES][,memory=MB]")
	}
	a := Account{Name: name}
	var errs []error
	if name == "" || len(name) > maxAccountName || strings.ContainsAny(name, " \t\n/,\"") {
		errs = append(errs, fmt.Errorf("name %q: want 1 to %d bytes without spaces, slashes, commas and quotes", name, maxAccountName))
	}
	parts := strings.Split(rest, ",")
	var err error
	if a.Weight, err = parseWithin(parts[0], MinAccountWeight, MaxAccountWeight); err != nil {
		errs = append(errs, fmt.Errorf("weight: %w", err))
	}
	seen := make(map[string]bool)
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		if seen[key] {
			errs = append(errs, fmt.Errorf("%s is given twice", key))
		}
		seen[key] = true
		if err := a.Quota.set(key, value); err != nil {
			errs = append(errs, err)
		}
	}
	return a, errors.Join(errs...)
}

// set sets a dimension of a quota.
func (r *Resources) set(key, value string) error {
	switch key {
	case "cpu":
		cores, err := parseWithin(value, 0.001, maxAccountCores)
		if err != nil {
			return fmt.Errorf("cpu: %w", err)
		}
		r.CPUMillis = int64(math.Round(cores * 1000))
	case "memory":
		mb, err := parseWithin(value, 1, maxAccountMemoryMB)
		if err != nil {
			return fmt.Errorf("memory: %w", err)
		}
		if r.MemoryMB = int64(mb); float64(r.MemoryMB) != mb {
			return fmt.Errorf("memory: want a whole number of MB, not %s", value)
		}
	default:
		return fmt.Errorf("unknown quota %q; known are cpu and memory", key)
	}
	return nil
}

func parseWithin(text string, low, high float64) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	if !(v >= low && v <= high) {
		return 0, fmt.Errorf("want %v to %v, not %s", low, high, text)
	}
	return v, nil
}
