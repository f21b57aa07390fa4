// Package modelcheck holds the stateful fuzzing of confirm and failover together: a
// small model of a database group, several coordinators and trackers driven by
// events in random order, and an oracle for the guarantees of the design page.
// It contains tests only.
package modelcheck
