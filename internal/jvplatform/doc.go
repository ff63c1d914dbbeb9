// Package jvplatform meets what the platform gives: the append-only log service and the VM
// list, behind small interfaces, with clients for the HTTP protocols that it publishes.
package jvplatform
