// Package jvmeter holds a router's metrics in one set, which the operators' port writes in
// Prometheus' text form.
package jvmeter
