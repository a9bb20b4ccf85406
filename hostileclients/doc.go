// Package hostileclients tests real processes against clients that do not behave: whatever
// they send, no process ends, each stays within the memory and the descriptors of its
// machine, and ordinary requests are answered.
package hostileclients
