// Package jvlisten opens TCP listeners whose connections take a bounded part of the memory before they are read.
package jvlisten
