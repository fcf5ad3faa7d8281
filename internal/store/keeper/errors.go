package keeper

import "errors"

// asError tells whether err is, or wraps, an error of type T.
func asError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
