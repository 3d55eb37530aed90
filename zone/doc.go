// Package zone describes availability zones: failure domains that operators
// take out of service and bring back.
package zone
