// Package jvtarget selects the target of each attempt. For each target it tracks the load that the
// target reported, the requests that this router has sent since, whether the target is draining,
// and whether it responds. Requests that find every target full wait in order of priority for as
// long as their deadline allows; those that would not be done by their deadline are refused at once. A target
// that limits its requests is selected only when this router may send it one, and one that has announced that it leaves, or
// that it wants no requests for a time, is not.
package jvtarget
