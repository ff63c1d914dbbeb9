// Package jvhedge decides when a request that its target has not answered yet is also sent to another target.
package jvhedge
