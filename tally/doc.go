// Package tally replicates counters over the fleet. Each VM counts its own events
// and sends running totals. A receiver keeps the last totals of each origin and
// applies the difference. Lost, duplicated or reordered totals therefore cause no
// wrong counts, and datagrams suffice to send them.
package tally
