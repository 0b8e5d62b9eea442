package calendar

import (
	"fmt"
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// parseRule parses a recurrence rule, and returns nil for the empty rule, which stands for once. Times follow the wall clock of the start's
// time zone, so that a window at two in the morning stays there when daylight saving time begins or ends.
func parseRule(text string, start time.Time) (*rrule.RRule, error) {
	if text == "" {
		return nil, nil
	}
	option, err := rrule.StrToROptionInLocation(text, start.Location())
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	if option.Freq > rrule.DAILY { // frequencies are ordered from yearly on
		return nil, fmt.Errorf("rule %q: more often than daily", text)
	}
	option.Dtstart = start
	rule, err := rrule.NewRRule(*option)
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", text, err)
	}
	return rule, nil
}

// occurrenceStarts returns the starts in a span. A malformed rule has none: Check reports it.
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
