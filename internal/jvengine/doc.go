// Package jvengine is the client of targets: it sends attempts to model engines and calls to
// plain services, and classifies errors by what they prove about the attempt. Only KindUnsent
// proves that the target did not run the attempt; with KindRefused the target says so, and the
// other kinds leave it open.
package jvengine
