// Package jvstandin implements small HTTP stand-ins for the platform and the back ends: the
// append-only log with the VM list, a model engine, a plain service and the weight store.
// Each counts the operations that took effect, so that tests can compare them with the
// responses to callers. Faults are injected at run time: refused requests, delays, responses
// lost after the effect, partitions from an availability zone, crashes.
package jvstandin
