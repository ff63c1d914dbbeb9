// Package jvescrow holds what this VM has been granted on each budget. A reservation of the
// worst case is taken before a request's first byte leaves for a target, so that an answer is
// never cut by the budget; a settlement gives back what the target did not use.
//
// What is held needs no message and no clock to be spent, however long the VM is cut off.
package jvescrow
