// Package guard keeps an unexpected panic from ending the process of a VM, which would
// cut the connections of all its callers. Input from outside, such as a request or a
// message, is handled under Handle: only that input fails. A periodic task runs under
// Task: if it panics again and again, the process cannot do its work, and Failed reports
// it to stop in order.
package guard
