// Package version holds the software's version.
package version

// Version is the release. Versions that differ in the first number don't run in one system.
const Version = "0.1.0"

// Format is the version of the files under the data folder.
const Format = 1
