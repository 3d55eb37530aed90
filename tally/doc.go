// Package tally spreads counters over the fleet. Each VM counts for itself and
// sends its running totals; a receiver keeps the last totals of each origin and
// works with the difference. Totals may be lost, repeated or overtaken on the
// way without being counted wrongly, so they can travel in datagrams.
package tally
