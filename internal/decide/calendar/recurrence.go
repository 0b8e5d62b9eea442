package calendar

import (
	"fmt"
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// parseRule parses a recurrence rule. It returns nil for the empty rule, which stands for a single occurrence. Times follow the wall clock of
// the start's time zone, so that a window at two in the morning stays at that hour when daylight saving time begins or ends.
func parseRule(text string, start time.Time) (*rrule.RRule, error) {
	if text == "" {
		return nil, nil
	}
	option, err := rrule.StrToROptionInLocation(text, start.Location())
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	if option.Freq > rrule.DAILY { // frequencies are ordered from yearly to secondly
		return nil, fmt.Errorf("rule %q: recurs more often than daily", text)
	}
	option.Dtstart = start
	rule, err := rrule.NewRRule(*option)
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	return rule, nil
}

// occurrenceStarts returns the starts within a span. It returns none for a malformed rule, which Check reports.
func occurrenceStarts(text string, start time.Time, within span) []time.Time {
	rule, err := parseRule(text, start)
	if err != nil {
		return nil
	}
	if rule == nil {
		if start.Before(within.from) || !start.Before(within.to) {
			return nil
		}
		return []time.Time{start}
	}
	all := rule.Between(within.from, within.to, true)
	return slices.DeleteFunc(all, func(t time.Time) bool { return !t.Before(within.to) })
}
