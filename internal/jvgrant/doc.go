// Package jvgrant distributes prepaid budgets among routers through a keyed topic. Each router holds
// a share of each budget and spends it without coordination, also while it is disconnected.
package jvgrant
