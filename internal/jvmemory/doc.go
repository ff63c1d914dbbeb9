// Package jvmemory limits the memory of buffers whose size a remote server decides.
package jvmemory
