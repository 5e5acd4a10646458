package quota

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Guards against attempts that grow faster than the given share of the successes, or are saved up without limit.
func TestAttemptsStayWithinTheirShareOfSuccesses(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.05, 1).Draw(t, "share")
		burst := float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		q := New(share, burst)
		successes, taken := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				q.Earn()
				successes++
				continue
			}
			allowed := q.Allows()
			if q.Take() != allowed {
				t.Fatal("Allows and Take differ")
			}
			if allowed {
				taken++
			}
		}
		if float64(taken) > burst+share*float64(successes)+1e-6 {
			t.Fatalf("%d attempts for %d successes", taken, successes)
		}
		if q.attempts > burst {
			t.Fatalf("%v attempts are saved up", q.attempts)
		}
	})
}

// Guards against a quota that stays used up after successes.
func TestSuccessesAllowAttemptsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(0.25, 1)
	g.Expect(q.Take()).To(gomega.BeTrue())
	g.Expect(q.Take()).To(gomega.BeFalse())
	for range 4 {
		q.Earn()
	}
	g.Expect(q.Take()).To(gomega.BeTrue())
}
