// Package jvroute holds one version of the routing configuration as an immutable table: routes,
// workspaces with their keys and prepaid totals, pools, and limits.
package jvroute
