package position

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParseToken measures the cost by the length of the service name.
func BenchmarkParseToken(b *testing.B) {
	for _, n := range []int{8, 16, 63} {
		text := Token{Service: strings.Repeat("r", n), Position: Position{Term: 7, Offset: 1 << 40}}.String()
		b.Run(fmt.Sprint("name=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseToken(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
