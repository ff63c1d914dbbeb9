// Package jvengine speaks to targets: it runs attempts on model engines and calls plain
// services, and tells apart what a failure proves. A failure of KindUnsent proves that the
// target did not run the attempt; any other leaves it open.
package jvengine
