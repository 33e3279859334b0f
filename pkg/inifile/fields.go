package inifile

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field decodes the value of one key.
type Field struct {
	Set      func(value string) error
	Required bool
}

// Fields are the keys that a section may have.
type Fields map[string]Field

// Must returns a copy of f whose key must be present.
func (f Field) Must() Field {
	f.Required = true
	return f
}

// Decode sets all fields from the section's keys and returns its unknown, repeated, missing and wrong keys.
func (s *Section) Decode(file string, fields Fields) []Problem {
	var problems []Problem
	report := func(k Key, message, suggestion string) {
		problems = append(problems, Problem{
			File: file, Line: k.Line, Section: s.Header(), Key: k.Name, Message: message, Suggestion: suggestion,
		})
	}
	for i, k := range s.Keys {
		f, known := fields[k.Name]
		switch {
		case !known:
			report(k, "unknown key", Nearest(k.Name, slices.Collect(maps.Keys(fields))))
		case hasKey(s.Keys[:i], k.Name):
			report(k, "key is written twice in one section", "")
		default:
			if err := f.Set(k.Value); err != nil {
				report(k, err.Error(), "")
			}
		}
	}
	var missing []string
	for name, f := range fields {
		if f.Required && !hasKey(s.Keys, name) {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		report(Key{Name: name, Line: s.Line}, "required key is missing", "")
	}
	return problems
}

func hasKey(keys []Key, name string) bool {
	return slices.ContainsFunc(keys, func(k Key) bool { return k.Name == name })
}

// maxValueLength bounds one value in bytes.
const maxValueLength = 64 << 10

// String is a field of free text, not empty.
func String(p *string) Field {
	return Field{Set: func(v string) error {
		if v == "" {
			return fmt.Errorf("value is empty")
		}
		if len(v) > maxValueLength {
			return fmt.Errorf("value is longer than %d bytes", maxValueLength)
		}
		*p = v
		return nil
	}}
}

// OneOf is a field with one of the listed words.
func OneOf[T ~string](p *T, words ...T) Field {
	return Field{Set: func(v string) error {
		if !slices.Contains(words, T(v)) {
			names := make([]string, len(words))
			for i, w := range words {
				names[i] = string(w)
			}
			return fmt.Errorf("%q is not one of %s", v, strings.Join(names, ", "))
		}
		*p = T(v)
		return nil
	}}
}

// Bool is a field of yes or no; true and false are understood as well.
func Bool(p *bool) Field {
	return Field{Set: func(v string) error {
		switch v {
		case "yes", "true":
			*p = true
		case "no", "false":
			*p = false
		default:
			return fmt.Errorf("%q is neither yes nor no", v)
		}
		return nil
	}}
}

// Int is a field of a whole number from low to high.
func Int[T ~int | ~int64](p *T, low, high T) Field {
	return Field{Set: func(v string) error {
		n, err := wholeNumber(v)
		if err != nil {
			return err
		}
		if n < int64(low) || n > int64(high) {
			return fmt.Errorf("%d is not within %d and %d", n, low, high)
		}
		*p = T(n)
		return nil
	}}
}

// maxExact is the size up to which each whole number has a float64 of its own.
const maxExact = 1 << 53

// wholeNumber reads an integer. Programs that fill settings in may write it with a fraction of zero, or an exponent.
func wholeNumber(v string) (int64, error) {
	if n, err := strconv.ParseInt(v, 10, 64); err == nil {
		return n, nil
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != math.Trunc(f) || math.Abs(f) > maxExact {
		return 0, fmt.Errorf("%q is not a whole number", v)
	}
	return int64(f), nil
}

// Float is a field of a number from low to high.
func Float(p *float64, low, high float64) Field {
	return Field{Set: func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if !(n >= low && n <= high) { // refuses NaN as well
			return fmt.Errorf("%v is not within %v and %v", n, low, high)
		}
		*p = n
		return nil
	}}
}

// duration reads a duration; seconds may have an exponent.
func duration(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err == nil {
		return d, nil
	}
	seconds, isSeconds := strings.CutSuffix(v, "s")
	f, numberErr := strconv.ParseFloat(seconds, 64)
	if !isSeconds || numberErr != nil || !(math.Abs(f) < math.MaxInt64/float64(time.Second)) {
		return 0, err
	}
	return time.Duration(f * float64(time.Second)), nil
}

// Duration is a field such as 250ms, 5s or 1h from low to high.
func Duration(p *time.Duration, low, high time.Duration) Field {
	return Field{Set: func(v string) error {
		d, err := duration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms or 5s", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is not within %v and %v", d, low, high)
		}
		*p = d
		return nil
	}}
}

// List is a field of names separated by commas, none of them twice.
func List(p *[]string) Field {
	return Field{Set: func(v string) error {
		items := SplitList(v)
		for i, item := range items {
			if item == "" {
				return fmt.Errorf("list has an empty item")
			}
			if slices.Contains(items[:i], item) {
				return fmt.Errorf("%q is listed twice", item)
			}
		}
		*p = items
		return nil
	}}
}

// SplitList splits a value at commas and trims the items.
func SplitList(v string) []string {
	items := strings.Split(v, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// sha256HexLength is the length of a SHA-256 hash in hex digits.
const sha256HexLength = 64

// Hashes is a field of SHA-256 hashes in lower-case hex, separated by commas.
func Hashes(p *[]string) Field {
	var list []string
	f := List(&list)
	return Field{Set: func(v string) error {
		if err := f.Set(v); err != nil {
			return err
		}
		for _, h := range list {
			if len(h) != sha256HexLength || strings.Trim(h, "0123456789abcdef") != "" {
				return fmt.Errorf("%q is not a SHA-256 hash of %d lower-case hex digits", h, sha256HexLength)
			}
		}
		*p = list
		return nil
	}}
}

// Hash is a field of one SHA-256 hash in lower-case hex.
func Hash(p *string) Field {
	var list []string
	f := Hashes(&list)
	return Field{Set: func(v string) error {
		if err := f.Set(v); err != nil {
			return err
		}
		if len(list) != 1 {
			return fmt.Errorf("one hash is needed, not %d", len(list))
		}
		*p = list[0]
		return nil
	}}
}

// Address is a field of one IP:port. Host names are refused.
func Address(p *netip.AddrPort) Field {
	return Field{Set: func(v string) error {
		a, err := ParseAddress(v)
		if err != nil {
			return err
		}
		*p = a
		return nil
	}}
}

// Addresses is a field of IP:port items separated by commas. Host names are refused.
func Addresses(p *[]netip.AddrPort) Field {
	return Field{Set: func(v string) error {
		var out []netip.AddrPort
		for _, item := range SplitList(v) {
			a, err := ParseAddress(item)
			if err != nil {
				return err
			}
			if slices.Contains(out, a) {
				return fmt.Errorf("%s is listed twice", a)
			}
			out = append(out, a)
		}
		*p = out
		return nil
	}}
}

// ParseAddress parses IP:port.
func ParseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP number and port such as 10.0.0.1:7400; host names are refused", v)
	}
	return a, nil
}
