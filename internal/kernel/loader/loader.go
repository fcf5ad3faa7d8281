// Package loader sets flags from environment variables. A flag that is given takes
// precedence over its variable; the variable of the flag "store-url" is
// BAMBOOSPREAD_STORE_URL.
package loader

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of all environment variables of the program.
const EnvPrefix = "BAMBOOSPREAD_"

// Variable returns the name of the environment variable of a flag.
func Variable(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// SetFromEnvironment sets each flag that was not given from its environment variable. The error
// contains all variables with invalid values.
func SetFromEnvironment(flags *pflag.FlagSet) error {
	var errs []error
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Changed {
			return
		}
		value, ok := os.LookupEnv(Variable(f.Name))
		if !ok {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", Variable(f.Name), err))
		}
	})
	return errors.Join(errs...)
}

// Findings collects the errors of several settings, so that an operator sees all
// of them at once.
type Findings struct{ list []error }

// Add adds an error of the setting with the given flag name.
func (f *Findings) Add(flag, format string, args ...any) {
	f.list = append(f.list, fmt.Errorf("--%s (%s): %s", flag, Variable(flag), fmt.Sprintf(format, args...)))
}

// Err returns all errors joined, or nil.
func (f *Findings) Err() error { return errors.Join(f.list...) }
