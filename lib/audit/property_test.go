package audit

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// drawConfig draws a configuration whose numbers are at the ends of their types as often as between them, and whose few names and
// addresses often meet.
func drawConfig(t *rapid.T) Config {
	number := rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, 2, 100, 101, math.MaxUint16, math.MaxInt64 - 1, math.MaxInt64})
	rate := rapid.SampledFrom([]float64{math.Inf(-1), -1, 0, 0.5, 3000, math.MaxFloat64, math.Inf(1), math.NaN()})
	name := rapid.SampledFrom([]string{"", "a", "b", "\x00\"\xff"})
	address := rapid.SampledFrom([]netip.AddrPort{
		{}, netip.MustParseAddrPort("192.0.2.1:443"), netip.MustParseAddrPort("192.0.2.1:0"), netip.MustParseAddrPort("[2001:db8::1%eth0]:1"),
	})
	duration := func(label string) time.Duration { return time.Duration(number.Draw(t, label)) }
	values := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Value { return Value{Name: name.Draw(t, "name"), Text: name.Draw(t, "text")} }), 0, 3)
	config := Config{
		Fields:         values.Draw(t, "fields"),
		IdleTimeout:    duration("idle timeout"),
		ServicesListed: rapid.Bool().Draw(t, "services listed"),
		Version:        uint64(number.Draw(t, "version")),
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
		route := Route{
			Address: address.Draw(t, "address"), Endless: rapid.Bool().Draw(t, "endless"), Fields: values.Draw(t, "fields"),
			LatencyTarget: duration("target"), Method: name.Draw(t, "method"), Name: name.Draw(t, "name"), Owner: name.Draw(t, "owner"),
			PathPrefix: name.Draw(t, "prefix"), Place: AtIndex("routes", i), QueueLimit: number.Draw(t, "queue"), Reserved: number.Draw(t, "reserved"),
			Timeout: duration("timeout"), TypicalDuration: duration("typical"),
		}
		for range rapid.IntRange(0, 2).Draw(t, "shares") {
			route.Shares = append(route.Shares, Share{Place: route.Place, Service: name.Draw(t, "service"), Weight: number.Draw(t, "weight")})
		}
		config.Routes = append(config.Routes, route)
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "services") {
		config.Services = append(config.Services, Service{
			Address: address.Draw(t, "address"), ColdDuration: duration("cold"), ColdRate: rate.Draw(t, "rate"), Fields: values.Draw(t, "fields"),
			ID: number.Draw(t, "id"), MaxConnections: number.Draw(t, "connections"), Name: name.Draw(t, "name"), Place: AtIndex("services", i),
			Slots: number.Draw(t, "slots"),
		})
	}
	return config
}

// Guards against a value at the end of its type that panics the check, and against findings that depend on the order of a map.
func TestCheckOfAnyConfigurationIsTheSameEachTime(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		config, inForce := drawConfig(t), drawConfig(t)
		for _, schema := range []Schema{routeSchema, kindSchema} {
			first := Merge(nil, Check(config, &inForce, schema))
			if again := Merge(nil, Check(config, &inForce, schema)); !slices.Equal(first, again) {
				t.Fatalf("two checks differ: %v and %v", first, again)
			}
			for _, finding := range first {
				if finding.Text == "" || finding.Severity == SeverityError && finding.Remedy == "" {
					t.Fatalf("a finding has no text or no remedy: %v", finding)
				}
			}
		}
	})
}

// Guards against a shadowed kind that the search in sorted order misses, against the search by comparing all pairs.
func TestFirstCoveringRouteIsFound(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOf(rapid.StringMatching(`/[ab]{0,4}`)).Draw(t, "prefixes")
		routes := make([]Route, len(prefixes))
		want := make([]int, len(prefixes))
		for i, prefix := range prefixes {
			routes[i].PathPrefix = prefix
			want[i] = slices.IndexFunc(prefixes, func(other string) bool { return strings.HasPrefix(prefix, other) })
			want[i] = min(want[i], i)
		}
		if got := findFirstCovering(routes); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
