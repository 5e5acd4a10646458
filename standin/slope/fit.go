package slope

import (
	"runtime"
	"time"
)

// A Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// A Slope is a cost at several sizes with the line through them.
type Slope struct {
	Intercept float64
	Name      string
	PerUnit   float64
	Points    []Point
	Step      string // what Size counts
	Target    float64
	Unit      string
}

// AtTarget returns the cost at the target size.
func (s Slope) AtTarget() float64 { return s.Intercept + s.PerUnit*s.Target }

// fit returns the least-squares line through the points.
func fit(points []Point) (perUnit, intercept float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	perUnit = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return perUnit, (sumY - perUnit*sumX) / n
}

// measured returns the slope of a cost over sizes.
func measured(name, step, unit string, target float64, sizes []int, cost func(size int) float64) Slope {
	s := Slope{Name: name, Step: step, Target: target, Unit: unit}
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Value: cost(size)})
	}
	s.PerUnit, s.Intercept = fit(s.Points)
	return s
}

// microseconds returns the mean time of one call, the least of three series.
func microseconds(calls int, call func()) float64 {
	best := time.Duration(1 << 62)
	for range 3 {
		started := time.Now()
		for range calls {
			call()
		}
		best = min(best, time.Since(started))
	}
	return float64(best.Nanoseconds()) / 1000 / float64(calls)
}

// heapBytes returns how much more heap is live after build than before.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
