// Package jvmeter holds a router's metrics in one set, which the operators' port serves in the
// Prometheus text format.
package jvmeter
