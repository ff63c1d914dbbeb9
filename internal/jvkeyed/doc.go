// Package jvkeyed defines keyed topics, logs that keep the newest record of each key, and a follower
// that reads them.
package jvkeyed
