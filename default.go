package cleat

// SetDefault sets field to value if it holds the zero value.
func SetDefault[T comparable](field *T, value T) {
	var none T
	if *field == none {
		*field = value
	}
}
