// Package defaults replaces unset options by their default values.
package defaults

// Number is the type of an option that must be positive.
type Number interface {
	~int | ~int64 | ~float64
}

// Positive returns value, or defaultValue if value is not positive.
func Positive[T Number](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}
