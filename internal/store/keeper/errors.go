package keeper

import "errors"

// isError reports whether err is, or wraps, an error of type T.
func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
