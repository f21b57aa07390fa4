// Package modelcheck holds model-based property tests of the packages confirm, failover
// and route together. A simulation runs failover coordinators, confirm trackers and
// caller sessions against a model of a database group, with random faults and message
// orders, and an oracle checks the guarantees of docs/design.md after each step. The
// package contains tests only.
package modelcheck
