// Package jvtarget chooses the target of each attempt. It keeps, per target, the load that
// the target reported and what this router has sent since, whether it is draining, and
// whether it answers at all; requests that find every target full wait in order of priority
// for as long as their deadline allows, and are refused at once where it does not.
package jvtarget
