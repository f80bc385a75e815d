package cleat

// SetDefault gives field a value if it has none.
func SetDefault[T comparable](field *T, value T) {
	var none T
	if *field == none {
		*field = value
	}
}
