// Package standard imports all modules for their registration.
package standard
