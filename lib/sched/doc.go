// Package sched schedules packets fairly among services and limits the rate of new flows. It does no I/O.
package sched
