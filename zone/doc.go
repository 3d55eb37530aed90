// Package zone describes availability zones. Operators can take a zone out of
// service and put it back.
package zone
