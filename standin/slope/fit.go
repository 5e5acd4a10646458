package slope

import (
	"runtime"
	"time"
)

// Point is one measurement: a cost at a size.
type Point struct {
	Size  float64
	Value float64
}

// LinearFit holds the measurements of one cost and their linear fit.
type LinearFit struct {
	CostUnit   string // unit of the cost
	Intercept  float64
	Name       string
	Points     []Point
	SizeUnit   string  // unit of the sizes
	Slope      float64 // cost per unit of size
	TargetSize float64 // size to extrapolate to
}

// AtTarget returns the fitted cost at the target size.
func (f LinearFit) AtTarget() float64 { return f.Intercept + f.Slope*f.TargetSize }

// fit returns the least-squares line through the points.
func fit(points []Point) (slope, intercept float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// measure measures a cost at each size and fits a line.
func measure(name, sizeUnit, costUnit string, targetSize float64, sizes []int, cost func(size int) float64) LinearFit {
	f := LinearFit{CostUnit: costUnit, Name: name, SizeUnit: sizeUnit, TargetSize: targetSize}
	for _, size := range sizes {
		f.Points = append(f.Points, Point{Size: float64(size), Value: cost(size)})
	}
	f.Slope, f.Intercept = fit(f.Points)
	return f
}

// meanMicroseconds returns the mean time of one call in the fastest of three series.
func meanMicroseconds(calls int, call func()) float64 {
	fastest := time.Duration(1 << 62)
	for range 3 {
		startedAt := time.Now()
		for range calls {
			call()
		}
		fastest = min(fastest, time.Since(startedAt))
	}
	return float64(fastest.Nanoseconds()) / 1000 / float64(calls)
}

// measureHeap returns the live heap, in bytes, of the value that build returns.
func measureHeap(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
