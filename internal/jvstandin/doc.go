// Package jvstandin holds small stand-ins of what the platform and the back ends give: the
// append-only log with the VM list, a model engine, a plain service and the weight store.
// Each keeps its own count of what it truly did, and has faults that are switched while it
// runs: down, slow, answer lost after the effect, cut from an availability zone, crash.
package jvstandin
