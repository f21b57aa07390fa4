// Package defaults replaces options that are not set.
package defaults

// Number is the type of an option that must be positive.
type Number interface {
	~int | ~int64 | ~float64
}

// Positive returns the value of an option, or the default if it is not positive.
func Positive[T Number](value, byDefault T) T {
	if value <= 0 {
		return byDefault
	}
	return value
}
