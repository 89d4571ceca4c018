// Package constants holds the fixed numbers of topazshed, one file a subject. Each one's comment gives its unit in parentheses
// (a time.Duration needs none) and what it is for, and a reason where a reader would wonder. "Far link" stands for the longest
// links between regions that the product is designed for: 70 ms there and back. A number that the users may set is no constant;
// see internal/settings.
package constants
