package cleat

import "math"

// tokenStepsPerOctave is the precision of EncodeTokens: a step is 9%, and the largest
// code stands for 3.6 billion tokens.
const tokenStepsPerOctave = 8

// tokensByCode holds the tokens that each code of EncodeTokens stands for.
var tokensByCode = func() (table [256]uint32) {
	for i := range table {
		table[i] = uint32(math.Round(math.Exp2(float64(i)/tokenStepsPerOctave))) - 1
	}
	return table
}()

// EncodeTokens returns a count of tokens as one byte, on a logarithmic scale.
func EncodeTokens(n int) byte {
	return byte(min(math.Round(tokenStepsPerOctave*math.Log2(1+float64(max(n, 0)))), 255))
}

// DecodeTokens returns the count that a byte of EncodeTokens stands for.
func DecodeTokens(code byte) int { return int(tokensByCode[code]) }
