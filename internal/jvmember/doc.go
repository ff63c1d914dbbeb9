// Package jvmember keeps the list of the fleet's routers on a keyed topic, each with its zone and the address at
// which other routers reach it. The topic also holds the fleet's secret, by which routers authenticate messages
// to each other: only who may read the store knows it.
package jvmember
