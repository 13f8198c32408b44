package language

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// FuzzParse parses operators' statements; a mistake has a place within the text.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"show served by team last 10m", "take zone a out", "start move p from v1 to v2 by 2026-12-11T18:00:00Z", `take back move p because "slow"`, "show targets where zone = ", `lift bar "1f a" in pool p`, "explain host h path / prompt a:1,b:2 tokens 3,4", "\x00\xff"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(time.Now(), text)
		var mistake *SyntaxError
		if errors.As(err, &mistake) && (mistake.Column < 1 || mistake.Column > len(text)+1) {
			t.Fatalf("mistake in column %d of %q", mistake.Column, text)
		}
	})
}
