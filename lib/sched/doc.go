// Package sched shares a sender among services and limits how fast new flows come, without any I/O.
package sched
