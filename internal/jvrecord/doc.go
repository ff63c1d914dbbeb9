// Package jvrecord holds the records that the fleet keeps on the platform's append-only
// log. A batch is one append; the fold in package jvledger gives the records their meaning.
package jvrecord
