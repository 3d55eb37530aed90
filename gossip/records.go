package gossip

import (
	"time"

	"almondstile/tally"

	"github.com/cockroachdb/errors"
)

// recordColumns holds tally.Records, one column for each field, so that a message of
// many records is decoded without an allocation for each of them. The records stand in
// groups that have the origin, the uptime and the flag in common.
type recordColumns struct {
	_ struct{} `cbor:",toarray"`
	// Origins holds the origin of each group, originBytes long.
	Origins []byte
	// UptimeDeciseconds is for each group the origin's uptime, in tenths of a second, at
	// the last change of the records.
	UptimeDeciseconds []int64
	// Resent is for each group 1 if its records are sent again after a gap in messages,
	// and otherwise 0.
	Resent []byte
	// Sizes is the number of records of each group.
	Sizes []uint64
	// Subjects holds the subject of each record, subjectBytes long.
	Subjects []byte
	// Lengths is the number of counts of each record, without trailing zeros.
	Lengths []byte
	// Counts holds the counts of all records.
	Counts []uint64
}

// Lengths of fields of a record in bytes.
const (
	originBytes  = 8
	subjectBytes = 9
)

// Upper bounds of encoded lengths in bytes.
const (
	groupBytes      = originBytes + 5 + 1 + 2 // with uptime, flag and size
	recordHeadBytes = subjectBytes + 1        // with the number of counts
	columnsBytes    = 7 * 2                   // headers of the columns, beyond those of empty ones
	maxCountBytes   = 9
)

// addRecords adds as many of the records to a message without records as fit into one
// datagram, at least one if there are any, and returns the others.
func (m *message) addRecords(records []tally.Record) (rest []tally.Record, err error) {
	without, err := encode(m)
	if err != nil {
		return records, err
	}
	count := countFitting(records, maxDatagramBytes-len(without)-columnsBytes)
	m.Records = toColumns(records[:count])
	return records[count:], nil
}

// countFitting returns how many of the records, from the first on, fit into so many
// bytes. It is at least one if there are records.
func countFitting(records []tally.Record, maxBytes int) int {
	groups := make(map[groupKey]bool)
	bytes := 0
	for i, r := range records {
		if k := (groupKey{r.Origin, r.Resent}); !groups[k] {
			groups[k] = true
			bytes += groupBytes
		}
		bytes += recordHeadBytes
		for _, n := range trimTrailingZeros(r.Counts) {
			bytes += countBytes(n)
		}
		if bytes > maxBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// countBytes returns the length of a count in CBOR.
func countBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	default:
		return maxCountBytes
	}
}

// uptimeUnit is the unit of uptimes in records.
const uptimeUnit = 100 * time.Millisecond

// groupKey holds the properties that the records of a group have in common.
type groupKey struct {
	origin tally.Origin
	resent bool
}

// toColumns groups records by origin and by whether they are resent. The uptime of a
// group is the highest of its records.
func toColumns(records []tally.Record) recordColumns {
	var c recordColumns
	byGroup := make(map[groupKey][]int)
	var keys []groupKey
	for i, r := range records {
		k := groupKey{r.Origin, r.Resent}
		if byGroup[k] == nil {
			keys = append(keys, k)
		}
		byGroup[k] = append(byGroup[k], i)
	}
	for _, k := range keys {
		c.addGroup(k, records, byGroup[k])
	}
	return c
}

// addGroup adds the records with the indexes, which have the key in common.
func (c *recordColumns) addGroup(k groupKey, records []tally.Record, indexes []int) {
	uptime, resent := int64(0), byte(0)
	for _, i := range indexes {
		uptime = max(uptime, int64(records[i].Uptime/uptimeUnit))
		counts := trimTrailingZeros(records[i].Counts)
		c.Subjects = append(c.Subjects, records[i].Subject...)
		c.Lengths = append(c.Lengths, byte(len(counts)))
		c.Counts = append(c.Counts, counts...)
	}
	if k.resent {
		resent = 1
	}
	c.Origins = append(c.Origins, k.origin...)
	c.UptimeDeciseconds = append(c.UptimeDeciseconds, uptime)
	c.Resent = append(c.Resent, resent)
	c.Sizes = append(c.Sizes, uint64(len(indexes)))
}

// trimTrailingZeros returns the counts without trailing zeros.
func trimTrailingZeros(c tally.Counts) []uint64 {
	n := len(c)
	for n > 0 && c[n-1] == 0 {
		n--
	}
	return c[:n]
}

// records returns the records of the columns. Its error is marked with ErrMalformed if
// the columns do not fit together.
func (c recordColumns) records() ([]tally.Record, error) {
	groups := len(c.Sizes)
	if len(c.Origins) != groups*originBytes || len(c.UptimeDeciseconds) != groups || len(c.Resent) != groups ||
		len(c.Subjects) != len(c.Lengths)*subjectBytes {
		return nil, errors.Mark(errors.New("columns of records have different lengths"), ErrMalformed)
	}
	// The records refer to parts of these two strings.
	origins, subjects := string(c.Origins), string(c.Subjects)
	out := make([]tally.Record, 0, len(c.Lengths))
	counts := c.Counts
	for g, size := range c.Sizes {
		if size > uint64(len(c.Lengths)-len(out)) {
			return nil, errors.Mark(errors.New("a group has more records than the message"), ErrMalformed)
		}
		for range size {
			i := len(out)
			n := int(c.Lengths[i])
			if n > len(counts) || n > len(tally.Counts{}) {
				return nil, errors.Mark(errors.New("a record has more counts than the message or the field"), ErrMalformed)
			}
			r := tally.Record{
				Origin: tally.Origin(origins[g*originBytes : (g+1)*originBytes]), Subject: tally.Subject(subjects[i*subjectBytes : (i+1)*subjectBytes]),
				Uptime: time.Duration(c.UptimeDeciseconds[g]) * uptimeUnit, Resent: c.Resent[g] == 1,
			}
			copy(r.Counts[:], counts[:n])
			counts = counts[n:]
			out = append(out, r)
		}
	}
	return out, nil
}
